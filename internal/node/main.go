package node

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/logging"
	"github.com/weldline/weldline/internal/settings"
)

// Exit codes.
const (
	exitFailure = 1
	exitInvalid = 2
)

// ExitCode is what a process exits with after an error.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return 0
	case fault.Is(err, fault.Invalid):
		return exitInvalid
	}
	return exitFailure
}

// logPatience is how long a stopping process waits for its last lines.
const logPatience = 200 * time.Millisecond

// NewLog returns the log of a node: JSON lines on standard output.
func NewLog(configuration *settings.Settings) *logging.Log {
	var level slog.Level
	_ = level.UnmarshalText([]byte(configuration.LogLevel)) // Validated with the settings.
	return logging.New(os.Stdout, level)
}

// Main runs a node by the settings that load returns, until it is told to stop,
// and returns the exit code. SIGHUP makes it read the settings again.
func Main(load func() (*settings.Settings, error), extensions Extensions) int {
	keepHeapSmall()
	err := RunUntilStopped(load, extensions)
	if err != nil {
		fmt.Fprintln(os.Stderr, "weldline: "+fault.Describe(err))
	}
	return ExitCode(err)
}

// heapGrowthPercent is by how much the heap may grow beyond what lives before it is
// collected. A node keeps a few megabytes and makes little garbage a second, so
// memory is the dearer of the two.
const heapGrowthPercent = 40

// keepHeapSmall sets how often garbage is collected, unless the environment does.
func keepHeapSmall() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(heapGrowthPercent)
	}
}

// RunUntilStopped runs a node by the settings that load returns, until it is
// told to stop.
func RunUntilStopped(load func() (*settings.Settings, error), extensions Extensions) error {
	configuration, err := load()
	if err != nil {
		return err
	}
	log := NewLog(configuration)
	defer log.Close(logPatience)
	logger := log.With("node", configuration.Node)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	process, err := New(configuration, logger, extensions)
	if err != nil {
		return err
	}
	process.Register(log)
	go process.followSettings(ctx, hangups, load)
	return process.Run(ctx)
}

// settingsInterval is how often the settings are read without a signal.
const settingsInterval = 5 * time.Second

// followSettings takes over new seeds when the settings have changed, which may
// come with SIGHUP or without. What else has changed takes effect with the next
// start.
func (n *Node) followSettings(ctx context.Context, hangups <-chan os.Signal, load func() (*settings.Settings, error)) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-hangups:
			asked = true
		}
		configuration, err := load()
		if err != nil {
			n.logger.Warn("settings_not_reloaded", "field", fault.FieldOf(err), "error", fault.Message(err))
			continue
		}
		if !asked && slices.Equal(configuration.Formation.Seeds, n.seeds.Load().Seeds) {
			continue
		}
		n.seeds.Store(&configuration.Formation)
		n.logger.Info("settings_reloaded", "seeds", configuration.Formation.Seeds)
	}
}
