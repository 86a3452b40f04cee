package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os/signal"
	"syscall"

	"github.com/weldline/weldline/internal/datadir"
	"github.com/weldline/weldline/internal/emulator"
	"github.com/weldline/weldline/internal/fault"
)

type emulateCommand struct {
	Config    string `required:"" type:"path" help:"Emulator configuration file."`
	Addresses string `type:"path" help:"File to write the listen addresses to, as JSON."`
}

func (c *emulateCommand) Run() error {
	config, err := emulator.LoadConfig(c.Config)
	if err != nil {
		return err
	}
	emulation, err := emulator.Start(config)
	if err != nil {
		return err
	}
	defer emulation.Close()
	encoded, err := json.MarshalIndent(emulation.Addresses(), "", "  ")
	if err != nil {
		return fault.Internal.Wrap(err, "encoding addresses")
	}
	if c.Addresses == "" {
		fmt.Println(string(encoded))
	} else if err := datadir.WriteFileSynced(c.Addresses, encoded); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}

type portsCommand struct {
	Count int `default:"1" help:"Number of ports."`
}

// Run prints ports that were free when the kernel assigned them. Other processes may
// take them afterwards.
func (c *portsCommand) Run() error {
	listeners := make([]net.Listener, 0, c.Count)
	for range c.Count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fault.Unavailable.Wrap(err, "listening on a free port")
		}
		listeners = append(listeners, listener)
	}
	for _, listener := range listeners {
		address, isTCP := listener.Addr().(*net.TCPAddr)
		if isTCP {
			fmt.Println(address.Port)
		}
		_ = listener.Close()
	}
	return nil
}
