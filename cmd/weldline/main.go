// Command weldline runs a node of a weldline cluster.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/weldline/weldline/internal/buildinfo"
	"github.com/weldline/weldline/internal/datadir"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/node"
	"github.com/weldline/weldline/internal/settings"
)

type commandLine struct {
	Init    initCommand    `cmd:"" help:"Create the data directory of a new control node."`
	Serve   serveCommand   `cmd:"" help:"Run the node with the roles in its settings."`
	Config  configCommand  `cmd:"" help:"Check and document settings."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

type serveCommand struct {
	Config string `required:"" type:"path" help:"Settings file."`
}

// initCommand creates a data directory, once per node.
type initCommand struct {
	Config string `required:"" type:"path" help:"Settings file."`
	Join   bool   `help:"Join a running cluster. The node's id must never have been used in it."`
}

func (c *initCommand) Run() error {
	configuration, err := settings.Load(c.Config)
	if err != nil {
		return err
	}
	if !configuration.HasRole(settings.RoleControl) {
		return fault.InvalidField("roles", "only control nodes have a data directory")
	}
	return datadir.Init(configuration.DataDir, datadir.Identity{
		Cluster: configuration.Cluster, ControlID: configuration.Control.ID, Join: c.Join,
	})
}

type configCommand struct {
	Check     checkCommand     `cmd:"" help:"Check a settings file."`
	Reference referenceCommand `cmd:"" help:"Print the reference of all settings as Markdown."`
}

type checkCommand struct {
	File string `arg:"" type:"path" help:"Settings file."`
}

type referenceCommand struct{}

func (c *referenceCommand) Run() error {
	reference, err := settings.Reference()
	if err != nil {
		return err
	}
	fmt.Print(reference)
	return nil
}

type versionCommand struct{}

func (c *serveCommand) Run() error {
	return node.RunUntilStopped(func() (*settings.Settings, error) { return settings.Load(c.Config) }, node.Extensions{})
}

func (c *checkCommand) Run() error {
	if _, err := settings.Load(c.File); err != nil {
		return err
	}
	fmt.Println("ok")
	return nil
}

func (c *versionCommand) Run() error {
	fmt.Println(buildinfo.Version())
	return nil
}

func main() {
	var commands commandLine
	parsed := kong.Parse(&commands, kong.Name("weldline"), kong.Description("A node of a weldline cluster."))
	err := parsed.Run()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "weldline: "+fault.Describe(err))
	os.Exit(node.ExitCode(err))
}
