// Command weldbench runs emulators, load tests and simulations of weldline.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/weldline/weldline/internal/buildinfo"
	"github.com/weldline/weldline/internal/fault"
)

// Exit codes, documented in docs/CLI.md.
const (
	exitFailure = 1
	exitInvalid = 2
)

type commandLine struct {
	Emulate  emulateCommand  `cmd:"" help:"Run emulated engines, back ends, weight store and machine list."`
	Load     loadCommand     `cmd:"" help:"Send open-loop load to routers and check every response."`
	Faults   faultsCommand   `cmd:"" help:"Simulate clusters under faults and check invariants."`
	Simulate simulateCommand `cmd:"" help:"Simulate a policy under a traffic scenario in virtual time."`
	Report   reportCommand   `cmd:"" help:"Compare policies over several seeds, with a table and charts."`
	Ports    portsCommand    `cmd:"" help:"Print free TCP ports of this machine."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

type versionCommand struct{}

func (c *versionCommand) Run() error {
	fmt.Println(buildinfo.Version())
	return nil
}

func main() {
	var commands commandLine
	parsed := kong.Parse(&commands, kong.Name("weldbench"), kong.Description("Emulation, load tests and simulations for weldline."))
	err := parsed.Run()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "weldbench: "+fault.Describe(err))
	if fault.Is(err, fault.Invalid) {
		os.Exit(exitInvalid)
	}
	os.Exit(exitFailure)
}
