// Package accept accepts connections and survives errors that pass.
package accept

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"syscall"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/tcpopt"
)

// retryInterval is the pause after an error that passes. Meanwhile connections wait in the kernel's queue.
const retryInterval = 20 * time.Millisecond

// retriesPerLog bounds the log lines of an error that lasts to about one a second.
const retriesPerLog = 50

// Next returns the next connection of a listener. It retries, with a log line, while the process is short of descriptors
// or memory, and after connections that were reset before they were accepted. All other errors are returned.
func Next(ctx context.Context, listener net.Listener, logger *slog.Logger) (net.Conn, error) {
	for retries := 0; ; retries++ {
		connection, err := listener.Accept()
		if err == nil || !passes(err) {
			return connection, err
		}
		if retries%retriesPerLog == 0 {
			logger.Warn("accept_failed", "error", fault.Message(err), "retries", retries)
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(retryInterval):
		}
	}
}

func passes(err error) bool {
	return tcpopt.IsShortage(err) || errors.Is(err, syscall.ECONNABORTED)
}
