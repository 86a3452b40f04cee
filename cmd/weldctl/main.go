// Command weldctl is the command-line client of the resource API.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/joomcode/errorx"

	"github.com/weldline/weldline/internal/buildinfo"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/operator"
)

// Exit codes, documented in docs/CLI.md.
const (
	exitFailure     = 1
	exitInvalid     = 2
	exitConflict    = 3
	exitNotFound    = 4
	exitUnavailable = 5
	exitDifferent   = 6
)

type commandLine struct {
	Server    []string `help:"Base URLs of the resource API." env:"WELDLINE_API" default:"http://127.0.0.1:7201"`
	Token     string   `help:"Bearer token." env:"WELDLINE_TOKEN"`
	Authority string   `help:"PEM file with the CA certificates to verify the servers with." env:"WELDLINE_AUTHORITY" type:"path"`

	Apply   applyCommand   `cmd:"" help:"Apply the resources of a file or directory atomically."`
	Diff    diffCommand    `cmd:"" help:"Show what apply would change. Exits with 6 if there are differences."`
	Get     getCommand     `cmd:"" help:"Show resources."`
	Watch   watchCommand   `cmd:"" help:"Show changes as they happen."`
	Delete  deleteCommand  `cmd:"" help:"Delete a resource."`
	Drain   drainCommands  `cmd:"" help:"Drain a machine or a zone."`
	Undrain undrainCommand `cmd:"" help:"Undrain a zone."`
	Status  statusCommand  `cmd:"" help:"Show the leader, the nodes and the version that each has applied."`
	Explain explainCommand `cmd:"" help:"Show from logs what happened to a request, and why."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

// session is the context of a command.
type session struct {
	ctx    context.Context
	client *operator.Client
}

type versionCommand struct{}

func (c *versionCommand) Run(*session) error {
	fmt.Println(buildinfo.Version())
	return nil
}

var exitCodes = []struct {
	kind *errorx.Type
	code int
}{
	{fault.Invalid, exitInvalid},
	{fault.Usage, exitInvalid},
	{fault.Conflict, exitConflict},
	{fault.InUse, exitConflict},
	{fault.NotFound, exitNotFound},
	{fault.Unavailable, exitUnavailable},
	{errDifferent, exitDifferent},
}

func main() {
	var commands commandLine
	parsed := kong.Parse(&commands, kong.Name("weldctl"), kong.Description("Manage the resources of a weldline cluster."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	client, err := operator.NewClient(commands.Server, commands.Token, commands.Authority)
	if err == nil {
		err = parsed.Run(&session{ctx: ctx, client: client})
	}
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "weldctl: "+fault.Describe(err))
	for _, mapping := range exitCodes {
		if fault.Is(err, mapping.kind) {
			os.Exit(mapping.code)
		}
	}
	os.Exit(exitFailure)
}
