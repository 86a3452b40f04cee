// Package link measures the traffic of a node's network link and estimates how long packets wait for it.
//
// A node does not see the queue of its link: what it writes is accepted at once, and what it has not received yet is
// unknown. The meter therefore models the link as a queue that drains at the link's rate, one for each direction.
package link

import (
	"net"
	"sync"
	"time"
)

const (
	// packetBytes is the payload of a full packet, overheadBytes what Ethernet, IP and TCP add to each packet.
	packetBytes   = 1448
	overheadBytes = 66
	// usableShare of the rate is what the modelled queue drains at. What arrives can't exceed the rate, so that a
	// queue at the full rate would not grow while the real one does.
	usableShare = 0.95
	// maxWait bounds the modelled queue, so that the estimate recovers soon after an overload.
	maxWait        = time.Second
	bitsPerByte    = 8
	bitsPerMegabit = 1e6
)

// Meter counts the bytes that pass a node's link. It is safe for concurrent use.
type Meter struct {
	// rate is in bytes per second; 0 if it is unknown.
	rate float64

	mutex          sync.Mutex
	sent, received queue
	connects       connectTimes
	expected       expectation
	// measured is the result of the last measurement, at measuredAt.
	measured   time.Duration
	measuredAt time.Time
}

// NewMeter returns a meter for a link of a rate in Mbit/s in each direction. With a rate of 0 it only counts.
func NewMeter(megabitsPerSecond float64) *Meter {
	return &Meter{rate: megabitsPerSecond * bitsPerMegabit / bitsPerByte, connects: connectTimes{}}
}

// queue models one direction of a link.
type queue struct {
	total   uint64
	waiting float64
	updated time.Time
}

// drain removes the bytes that the link has carried since the last update.
func (q *queue) drain(now time.Time, rate float64) {
	if elapsed := now.Sub(q.updated); elapsed > 0 {
		q.waiting = max(0, q.waiting-elapsed.Seconds()*rate*usableShare)
		q.updated = now
	}
}

func (q *queue) add(now time.Time, bytes int, rate float64) {
	q.total += uint64(bytes)
	if rate == 0 {
		return
	}
	q.drain(now, rate)
	packets := 1 + bytes/packetBytes
	q.waiting = min(q.waiting+float64(bytes+packets*overheadBytes), maxWait.Seconds()*rate)
}

// wait returns how long a packet would wait now.
func (q *queue) wait(now time.Time, rate float64) time.Duration {
	if rate == 0 {
		return 0
	}
	q.drain(now, rate)
	return time.Duration(q.waiting / rate * float64(time.Second))
}

// Sent records payload that was written to a connection.
func (m *Meter) Sent(now time.Time, bytes int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.sent.add(now, bytes, m.rate)
}

// Received records payload that was received on a connection.
func (m *Meter) Received(now time.Time, bytes int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.received.add(now, bytes, m.rate)
}

// Connected records the time that a connection to a peer took to open, and returns by how much that is longer than the
// fastest one.
func (m *Meter) Connected(now time.Time, peer string, taken time.Duration) (excess time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.connects.record(now, peer, taken)
}

// measurementLifetime is how long a measurement remains valid.
const measurementLifetime = 500 * time.Millisecond

// Measured records a measurement of the link's delay.
func (m *Meter) Measured(now time.Time, delay time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.measured, m.measuredAt = delay, now
}

// Load is the state of a link.
type Load struct {
	// SentBytes and ReceivedBytes are the payload since the start.
	SentBytes, ReceivedBytes uint64
	// SendWait and ReceiveWait estimate how long a packet waits for the link; 0 if its rate is unknown.
	SendWait, ReceiveWait time.Duration
	// ConnectDelay is the least time by which recent connections to several peers took longer than usual; 0 if there were
	// too few.
	ConnectDelay time.Duration
	// Measured is a recent measurement of the delay; 0 if there is none.
	Measured time.Duration
	// ExpectedWait is the time that the link needs for requests that are on their way.
	ExpectedWait time.Duration
}

// Backlog estimates how long the link needs for what it has to carry now, including requests that are on their way.
func (l Load) Backlog() time.Duration {
	return max(l.SendWait, l.ReceiveWait) + l.ExpectedWait
}

// Delay estimates how long packets wait for the link.
func (l Load) Delay() time.Duration {
	return max(l.SendWait, l.ReceiveWait, l.ConnectDelay, l.Measured)
}

// Load returns the present state.
func (m *Meter) Load(now time.Time) Load {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	measured := m.measured
	if now.Sub(m.measuredAt) > measurementLifetime {
		measured = 0
	}
	return Load{
		Measured:  measured,
		SentBytes: m.sent.total, ReceivedBytes: m.received.total,
		SendWait: m.sent.wait(now, m.rate), ReceiveWait: m.received.wait(now, m.rate),
		ConnectDelay: m.connects.delay(now), ExpectedWait: m.expected.wait(m.rate),
	}
}

// Conn returns a connection whose traffic is counted.
func (m *Meter) Conn(connection net.Conn) net.Conn {
	return &countedConn{Conn: connection, meter: m}
}

type countedConn struct {
	net.Conn
	meter *Meter
}

// NetConn returns the connection below, as that of tls.Conn does.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *countedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.meter.Received(time.Now(), count)
	}
	return count, err
}

// Write implements net.Conn.
func (c *countedConn) Write(content []byte) (int, error) {
	count, err := c.Conn.Write(content)
	if count > 0 {
		c.meter.Sent(time.Now(), count)
	}
	return count, err
}

// Listener counts the traffic of the connections that another listener accepts.
type Listener struct {
	net.Listener
	Meter *Meter
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.Meter.Conn(connection), nil
}
