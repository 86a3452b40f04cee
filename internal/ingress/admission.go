package ingress

import (
	"log/slog"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/link"
	"github.com/weldline/weldline/internal/overload"
)

// errNotAdmitted is the error of a read from a connection that is closed unread.
var errNotAdmitted = fault.Refused.New("the server is overloaded")

// admission applies an overload.Gate to the connections of a server.
type admission struct {
	logger  *slog.Logger
	metrics *Metrics
	link    *link.Meter
	mutex   sync.Mutex
	gate    overload.Gate
	// loggedAt is when an overload was last logged, admitted and closed count the connections since then.
	loggedAt         time.Time
	admitted, closed int
}

// overloadLogInterval bounds the log lines about connections that are closed unread.
const overloadLogInterval = time.Second

// wrap returns a connection whose traffic is counted, and that is judged when it is read for the first time, once the
// scheduler has found time for it.
func (a *admission) wrap(connection net.Conn) net.Conn {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.gate.Accepted()
	return &admittedConn{Conn: a.link.Conn(connection), admission: a, acceptedAt: time.Now(), expected: a.link.Expect()}
}

func (a *admission) admit(acceptedAt time.Time) bool {
	now := time.Now()
	waited := now.Sub(acceptedAt)
	a.mutex.Lock()
	admitted := a.gate.Admit(now, waited)
	if admitted {
		a.admitted++
	} else {
		a.closed++
		a.logClosed(now, waited)
	}
	a.mutex.Unlock()
	a.metrics.observeAdmission(waited, admitted)
	return admitted
}

// logClosed logs that connections are closed unread. The mutex must be held.
func (a *admission) logClosed(now time.Time, waited time.Duration) {
	if now.Sub(a.loggedAt) < overloadLogInterval {
		return
	}
	load := a.link.Load(now)
	a.logger.Warn("connections_closed_unread", "closed", a.closed, "read", a.admitted, "waited_ms", waited.Milliseconds(),
		"link_send_wait_ms", load.SendWait.Milliseconds(), "link_receive_wait_ms", load.ReceiveWait.Milliseconds(), "connect_ms", load.ConnectDelay.Milliseconds(),
		"sent_bytes", load.SentBytes, "received_bytes", load.ReceivedBytes)
	a.loggedAt, a.admitted, a.closed = now, 0, 0
}

func (a *admission) abandon() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.gate.Abandoned()
}

// admittedConn is a connection that fails its first read if the server is overloaded.
type admittedConn struct {
	net.Conn
	admission  *admission
	acceptedAt time.Time
	judged     atomic.Bool
	// expected is the first request, until a response to it begins.
	expected *link.Expected
}

// Read implements net.Conn.
func (c *admittedConn) Read(buffer []byte) (int, error) {
	if !c.judged.Load() && c.judged.CompareAndSwap(false, true) {
		runtime.Gosched() // Lets the requests in progress run first, so that the wait shows how many there are.
		if !c.admission.admit(c.acceptedAt) {
			_ = c.Conn.Close() // The client's request is unread, so this resets the connection.
			return 0, errNotAdmitted
		}
	}
	count, err := c.Conn.Read(buffer)
	c.expected.Received(count)
	return count, err
}

// Write implements net.Conn.
func (c *admittedConn) Write(content []byte) (int, error) {
	c.expected.Done()
	return c.Conn.Write(content)
}

// Close implements net.Conn.
func (c *admittedConn) Close() error {
	if c.judged.CompareAndSwap(false, true) {
		c.admission.abandon()
	}
	c.expected.Done()
	return c.Conn.Close()
}

// NetConn returns the connection below.
func (c *admittedConn) NetConn() net.Conn { return c.Conn }
