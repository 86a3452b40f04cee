// Command weldline is a node of a weldline cluster.
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
	Init    initCommand    `cmd:"" help:"Make the data folder of a new control node."`
	Serve   serveCommand   `cmd:"" help:"Run the roles that the settings name."`
	Config  configCommand  `cmd:"" help:"Work on settings files."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

type serveCommand struct {
	Config string `required:"" type:"path" help:"Settings file."`
}

// initCommand makes a data folder, once in a node's life.
type initCommand struct {
	Config string `required:"" type:"path" help:"Settings file."`
	Join   bool   `help:"The node joins a running cluster, under an id that was never used."`
}

// Run implements the command.
func (c *initCommand) Run() error {
	configuration, err := settings.Load(c.Config)
	if err != nil {
		return err
	}
	if !configuration.HasRole(settings.RoleControl) {
		return fault.InvalidField("roles", "only a control node has a data folder")
	}
	return datadir.Init(configuration.DataDir, datadir.Identity{
		Cluster: configuration.Cluster, ControlID: configuration.Control.ID, Join: c.Join,
	})
}

type configCommand struct {
	Check     checkCommand     `cmd:"" help:"Check a settings file."`
	Reference referenceCommand `cmd:"" help:"Print what may be set, as Markdown."`
}

type checkCommand struct {
	File string `arg:"" type:"path" help:"Settings file."`
}

type referenceCommand struct{}

// Run implements the command.
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
	var line commandLine
	parsed := kong.Parse(&line, kong.Name("weldline"), kong.Description("A node of a weldline cluster."))
	err := parsed.Run()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "weldline: "+fault.Describe(err))
	os.Exit(node.ExitCode(err))
}
