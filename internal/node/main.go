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

const (
	exitFailure = 1
	exitInvalid = 2
)

// ExitCode returns the exit code of a process for an error.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return 0
	case fault.Is(err, fault.Invalid):
		return exitInvalid
	}
	return exitFailure
}

// logCloseTimeout is how long a stopping process waits for its log to be written.
const logCloseTimeout = 200 * time.Millisecond

// NewLog returns a node's log, which writes JSON lines to standard output.
func NewLog(configuration *settings.Settings) *logging.Log {
	var level slog.Level
	_ = level.UnmarshalText([]byte(configuration.LogLevel)) // Validated with the settings.
	return logging.New(os.Stdout, level)
}

// Main runs a node until it receives SIGINT or SIGTERM and returns the exit code. SIGHUP reloads the
// settings.
func Main(load func() (*settings.Settings, error), extensions Extensions) int {
	limitHeapGrowth()
	err := RunUntilStopped(load, extensions)
	if err != nil {
		fmt.Fprintln(os.Stderr, "weldline: "+fault.Describe(err))
	}
	return ExitCode(err)
}

// heapGrowthPercent is the default of GOGC. A node has a small heap and allocates little, so memory is
// worth more than the time for garbage collection.
const heapGrowthPercent = 40

// limitHeapGrowth sets the GC percentage, unless GOGC is set.
func limitHeapGrowth() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(heapGrowthPercent)
	}
}

// RunUntilStopped runs a node until it receives SIGINT or SIGTERM.
func RunUntilStopped(load func() (*settings.Settings, error), extensions Extensions) error {
	// Until they are caught, signals end the process at once.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	configuration, err := load()
	if err != nil {
		return err
	}
	log := NewLog(configuration)
	defer log.Close(logCloseTimeout)
	logger := log.With("node", configuration.Node)
	process, err := New(configuration, logger, extensions)
	if err != nil {
		return err
	}
	process.Register(log)
	go process.watchSettings(ctx, hangups, load)
	return process.Run(ctx)
}

// settingsInterval is the interval of reading the settings without a signal.
const settingsInterval = 5 * time.Second

// watchSettings reloads the settings on SIGHUP and at intervals. Only changed seeds take effect without
// a restart.
func (n *Node) watchSettings(ctx context.Context, hangups <-chan os.Signal, load func() (*settings.Settings, error)) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-hangups:
			signaled = true
		}
		configuration, err := load()
		if err != nil {
			n.logger.Warn("settings_not_reloaded", "field", fault.FieldOf(err), "error", fault.Message(err))
			continue
		}
		if !signaled && slices.Equal(configuration.Formation.Seeds, n.seeds.Load().Seeds) {
			continue
		}
		n.seeds.Store(&configuration.Formation)
		n.logger.Info("settings_reloaded", "seeds", configuration.Formation.Seeds)
	}
}
