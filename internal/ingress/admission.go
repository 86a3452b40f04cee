package ingress

import (
	"log/slog"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/overload"
)

// errNotAdmitted is the error of a read from a connection that is closed unread.
var errNotAdmitted = fault.Refused.New("the server is overloaded")

// admission applies an overload.Gate to the connections of a server.
type admission struct {
	logger  *slog.Logger
	metrics *Metrics
	mutex   sync.Mutex
	gate    overload.Gate
	// loggedAt is when an overload was last logged.
	loggedAt time.Time
}

// overloadLogInterval bounds the log lines about connections that are closed unread.
const overloadLogInterval = time.Second

// wrap returns a connection that is judged when it is read for the first time, once the scheduler has found time for
// it.
func (a *admission) wrap(connection net.Conn) net.Conn {
	accepted, isTCP := connection.(*net.TCPConn)
	if !isTCP {
		return connection
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.gate.Accepted()
	return &admittedConn{TCPConn: accepted, admission: a, acceptedAt: time.Now()}
}

func (a *admission) admit(acceptedAt time.Time) bool {
	now := time.Now()
	waited := now.Sub(acceptedAt)
	a.mutex.Lock()
	admitted := a.gate.Admit(now, waited)
	logged := !admitted && now.Sub(a.loggedAt) >= overloadLogInterval
	if logged {
		a.loggedAt = now
	}
	a.mutex.Unlock()
	if logged {
		a.logger.Warn("connections_closed_unread", "waited_ms", waited.Milliseconds())
	}
	a.metrics.observeAdmission(waited, admitted)
	return admitted
}

func (a *admission) abandon() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.gate.Abandoned()
}

// admittedConn is a connection that fails its first read if the server is overloaded.
type admittedConn struct {
	*net.TCPConn
	admission  *admission
	acceptedAt time.Time
	judged     atomic.Bool
}

// Read implements net.Conn.
func (c *admittedConn) Read(buffer []byte) (int, error) {
	if !c.judged.Load() && c.judged.CompareAndSwap(false, true) {
		runtime.Gosched() // Lets the requests in progress run first, so that the wait shows how many there are.
		if !c.admission.admit(c.acceptedAt) {
			_ = c.TCPConn.Close() // The client's request is unread, so this resets the connection.
			return 0, errNotAdmitted
		}
	}
	return c.TCPConn.Read(buffer)
}

// Close implements net.Conn.
func (c *admittedConn) Close() error {
	if c.judged.CompareAndSwap(false, true) {
		c.admission.abandon()
	}
	return c.TCPConn.Close()
}
