package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/weldline/weldline/internal/capacity"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/node"
	"github.com/weldline/weldline/internal/settings"
)

// capacityCommand measures a fleet that scripts/capacity.sh has started.
type capacityCommand struct {
	Fleet     string        `required:"" type:"existingfile" help:"File that lists the fleet's processes."`
	Phase     time.Duration `default:"20s" help:"Length of each phase."`
	SpeedUp   float64       `default:"30" help:"How much faster than declared changes and loads come."`
	Seed      uint64        `default:"1" help:"Seed."`
	Faults    bool          `help:"Add a phase in which engines restart as often as in a day."`
	PhaseFile string        `type:"path" help:"File that gets the name of each phase as it begins."`
	JSON      bool          `name:"json" help:"Write the result as one JSON object."`
}

// Run implements the command.
func (c *capacityCommand) Run() error {
	fleet, err := capacity.LoadFleet(c.Fleet)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	plan := capacity.Plan{PhaseLength: c.Phase, SpeedUp: c.SpeedUp, Seed: c.Seed, Faults: c.Faults, PhaseFile: c.PhaseFile}
	result, err := capacity.Run(ctx, fleet, plan, func(text string) { fmt.Fprintln(os.Stderr, "capacity: "+text) })
	if err != nil {
		return err
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
			return fault.Internal.Wrap(err, "encoding the result")
		}
	} else {
		result.WriteTable(os.Stdout)
	}
	if result.Result != "ok" {
		return fault.Refused.New("changes were late or lost, or requests failed")
	}
	return nil
}

// hollowCommand hosts many routers without callers in one process.
type hollowCommand struct {
	Cluster   string   `required:"" help:"Name of the cluster."`
	First     int      `required:"" help:"Number of the first node."`
	Count     int      `required:"" help:"How many nodes."`
	Zones     []string `required:"" help:"Zones that the nodes are spread over, in turn."`
	Upstreams []string `required:"" help:"Relays or control nodes; a node prefers the one of its zone's position."`
	Admin     string   `required:"" help:"Address of the first node's metrics."`
}

// Run implements the command.
func (c *hollowCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	logger := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))
	failures := make(chan error, c.Count)
	var group sync.WaitGroup
	for position := range c.Count {
		configuration, err := c.settings(position)
		if err != nil {
			return err
		}
		created, err := node.New(configuration, logger, node.Extensions{})
		if err != nil {
			return err
		}
		group.Go(func() {
			if err := created.Run(ctx); err != nil {
				failures <- err
				cancel()
			}
		})
	}
	group.Wait()
	close(failures)
	return <-failures
}

func (c *hollowCommand) settings(position int) (*settings.Settings, error) {
	number := c.First + position
	zone := number % len(c.Zones)
	admin := "127.0.0.1:0"
	if position == 0 {
		admin = c.Admin
	}
	configuration := &settings.Settings{
		Cluster: c.Cluster, Node: fmt.Sprintf("node-%04d", number), Zone: c.Zones[zone], Admin: admin,
		Roles: []settings.Role{settings.RoleRouter},
	}
	configuration.Router.Listen = "127.0.0.1:0"
	preferred := zone % len(c.Upstreams)
	configuration.Router.Upstreams = append(append([]string{}, c.Upstreams[preferred:]...), c.Upstreams[:preferred]...)
	return configuration, configuration.Complete()
}

// slopesCommand fits lines through the results of several capacity runs.
type slopesCommand struct {
	Results []string `arg:"" type:"existingfile" help:"Results of weldbench capacity --json."`
}

// Run implements the command.
func (c *slopesCommand) Run() error {
	var results []capacity.Result
	for _, path := range c.Results {
		content, err := os.ReadFile(path)
		if err != nil {
			return fault.Usage.Wrap(err, "reading a result")
		}
		var result capacity.Result
		if err := json.Unmarshal(content, &result); err != nil {
			return fault.InvalidField(path, "is no result of weldbench capacity: %s", err.Error())
		}
		results = append(results, result)
	}
	slopes, err := capacity.Fit(results)
	if err != nil {
		return err
	}
	capacity.WriteSlopes(os.Stdout, slopes)
	return nil
}
