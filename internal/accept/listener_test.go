package accept

import (
	"errors"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/weldline/weldline/internal/accept/accepttest"
)

// TestStopWithoutClients checks that a stop ends an Accept that waits, and closes the listener.
func TestStopWithoutClients(t *testing.T) {
	network, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := NewListener(network)
	ended := make(chan error)
	go func() {
		_, err := listener.Accept()
		ended <- err
	}()
	listener.Stop()
	listener.Stop()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept returns %v", err)
	}
	if connection, err := net.Dial("tcp", network.Addr().String()); err == nil {
		_ = connection.Close()
		t.Error("clients can still connect")
	}
}

// TestStopIsBounded checks that a stop ends although there is always one more connection.
func TestStopIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := NewListener(&endlessListener{})
		listener.Stop()
		began := time.Now()
		for {
			connection, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				break
			}
			if err != nil || time.Since(began) > maxStopTime {
				t.Fatalf("Accept returns %v after %s", err, time.Since(began))
			}
			_ = connection.Close()
		}
		if took := time.Since(began); took != maxStopTime {
			t.Errorf("the listener accepts connections for %s", took)
		}
	})
}

// endlessListener has one more connection each time, unless its deadline has passed.
type endlessListener struct {
	net.Listener
	deadline time.Time
}

func (l *endlessListener) Accept() (net.Conn, error) {
	const interval = emptyAfter / 2
	if !time.Now().Before(l.deadline) {
		return nil, os.ErrDeadlineExceeded
	}
	time.Sleep(interval)
	connection, _ := net.Pipe()
	return connection, nil
}

func (l *endlessListener) SetDeadline(deadline time.Time) error {
	l.deadline = deadline
	return nil
}

func (l *endlessListener) Close() error { return nil }

// Guards against a stop that is undone by a deadline of the user of the listener.
func TestDeadlineDoesNotUndoStop(t *testing.T) {
	const clients = 3
	network := accepttest.Listen(t)
	listener := NewListener(network)
	countResponses := network.Send(t, clients, "request")
	listener.Stop()
	for range clients {
		if err := listener.SetDeadline(time.Now().Add(time.Hour)); err != nil {
			t.Fatal(err)
		}
		connection, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := connection.Write([]byte("response")); err != nil {
			t.Error(err)
		}
		_ = connection.Close()
	}
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept returns %v", err)
	}
	if answered := countResponses("response"); answered != clients {
		t.Errorf("%d of %d connections were accepted", answered, clients)
	}
}

// TestDeadlineOfUser checks that deadlines work before a stop.
func TestDeadlineOfUser(t *testing.T) {
	network, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := NewListener(network)
	defer func() { _ = listener.Close() }()
	if err := listener.SetDeadline(time.Now().Add(time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := listener.Accept(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("Accept returns %v", err)
	}
}
