// Command weldctl is the operators' tool. It talks only to the resource API.
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
	Token     string   `help:"Operator's token." env:"WELDLINE_TOKEN"`
	Authority string   `help:"PEM file of the authority of the servers' certificates." env:"WELDLINE_AUTHORITY" type:"path"`

	Apply   applyCommand   `cmd:"" help:"Declare the resources of a file or folder, all or none."`
	Diff    diffCommand    `cmd:"" help:"Show what apply would change. Exits with 6 if anything."`
	Get     getCommand     `cmd:"" help:"Show resources."`
	Watch   watchCommand   `cmd:"" help:"Show changes as they come."`
	Delete  deleteCommand  `cmd:"" help:"Delete a resource."`
	Drain   drainCommands  `cmd:"" help:"Empty a machine, or send a zone's machines no requests."`
	Undrain undrainCommand `cmd:"" help:"Send a zone's machines requests again."`
	Status  statusCommand  `cmd:"" help:"Show the cluster: leader, nodes and the version in force on each."`
	Explain explainCommand `cmd:"" help:"Tell what happened to a request, and why, from logs."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

// session is what commands work with.
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
	var line commandLine
	parsed := kong.Parse(&line, kong.Name("weldctl"), kong.Description("Declare and watch weldline resources."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	client, err := operator.NewClient(line.Server, line.Token, line.Authority)
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
