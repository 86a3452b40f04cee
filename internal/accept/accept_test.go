package accept

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/weldline/weldline/internal/tcpopt"
)

// failingListener fails with some errors before it accepts a connection.
type failingListener struct {
	net.Listener
	errors []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errors) == 0 {
		connection, _ := net.Pipe()
		return connection, nil
	}
	first := l.errors[0]
	l.errors = l.errors[1:]
	return nil, first
}

func errorOf(code syscall.Errno) error {
	return &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", code)}
}

// TestShortageOfDescriptorsPasses guards against a process that ends because it has no descriptor for one more connection.
func TestShortageOfDescriptorsPasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := &failingListener{errors: []error{errorOf(syscall.EMFILE), errorOf(syscall.ENFILE), errorOf(syscall.ECONNABORTED)}}
		connection, err := Next(t.Context(), listener, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		_ = connection.Close()
	})
}

func TestOtherErrorsAreReturned(t *testing.T) {
	for _, want := range []error{net.ErrClosed, errorOf(syscall.EINVAL), os.ErrDeadlineExceeded} {
		if _, err := Next(t.Context(), &failingListener{errors: []error{want}}, slog.New(slog.DiscardHandler)); !errors.Is(err, want) {
			t.Errorf("got %v, want %v", err, want)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	exhausted := &failingListener{errors: []error{errorOf(syscall.EMFILE)}}
	if _, err := Next(ctx, exhausted, slog.New(slog.DiscardHandler)); !tcpopt.IsShortage(err) {
		t.Errorf("got %v after the context was cancelled", err)
	}
}
