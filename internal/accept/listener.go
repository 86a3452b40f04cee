package accept

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// emptyAfter is how long a stopping listener waits for one more connection before it is closed.
	emptyAfter = time.Millisecond
	// maxStopTime bounds a stop while clients connect without end.
	maxStopTime = 250 * time.Millisecond
)

// Listener is a listener that can be stopped without resetting clients that have connected: the kernel completes connections, and
// receives requests on them, before they are accepted. Listeners without SetDeadline are closed at once.
type Listener struct {
	net.Listener

	mutex sync.Mutex
	// stopBy is when a stopping listener is closed at the latest; zero before Stop.
	stopBy time.Time
	// closed is closed with the listener.
	closed    chan struct{}
	closeOnce sync.Once
}

// NewListener returns a listener that can be stopped.
func NewListener(listener net.Listener) *Listener {
	return &Listener{Listener: listener, closed: make(chan struct{})}
}

// Accept implements net.Listener. After Stop it returns the connections that wait, and then closes the listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		isStopping := l.limitWait()
		connection, err := l.Listener.Accept()
		switch {
		case err == nil || !errors.Is(err, os.ErrDeadlineExceeded):
			return connection, err
		case isStopping:
			_ = l.Close() // The caller is told that the listener is closed.
			return nil, net.ErrClosed
		case !l.isStopping():
			return nil, err // It is a deadline of the caller.
		}
	}
}

// limitWait sets the deadline of the next Accept if the listener is stopping, and reports whether it is.
func (l *Listener) limitWait() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.stopBy.IsZero() {
		return false
	}
	l.setDeadline(time.Now().Add(min(emptyAfter, time.Until(l.stopBy))))
	return true
}

func (l *Listener) isStopping() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return !l.stopBy.IsZero()
}

// Stop has Accept return the connections that wait and then net.ErrClosed. It does not wait for that.
func (l *Listener) Stop() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.stopBy.IsZero() {
		return
	}
	l.stopBy = time.Now().Add(maxStopTime)
	l.setDeadline(time.Now()) // Interrupts Accept.
}

// SetDeadline sets the deadline of Accept. It has no effect once the listener is stopping.
func (l *Listener) SetDeadline(deadline time.Time) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.stopBy.IsZero() {
		return nil
	}
	limited, hasDeadline := l.Listener.(deadliner)
	if !hasDeadline {
		return os.ErrNoDeadline
	}
	return limited.SetDeadline(deadline)
}

type deadliner interface{ SetDeadline(time.Time) error }

// setDeadline closes the listener if it has no deadlines.
func (l *Listener) setDeadline(deadline time.Time) {
	if limited, hasDeadline := l.Listener.(deadliner); !hasDeadline || limited.SetDeadline(deadline) != nil {
		_ = l.Close()
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Drain stops the listener and waits until it is closed: a loop that handles each connection before it accepts the next one has then
// handled all that waited. A listener on which nobody calls Accept is closed after a bounded time.
func (l *Listener) Drain() {
	l.Stop()
	select {
	case <-l.closed:
	case <-time.After(2 * maxStopTime):
		_ = l.Close()
	}
}
