package upstreamtest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// smallBufferBytes is a size of socket buffers that an upload of many times as many bytes does not fit into.
const smallBufferBytes = 64 << 10

// Ending is how a server ends a connection.
type Ending string

const (
	// EndReset resets the connection.
	EndReset Ending = "reset"
	// EndOrderly ends the sending side and then reads the rest of the request.
	EndOrderly Ending = "orderly end"
	// EndHalfClosed ends the sending side and reads nothing until the test ends.
	EndHalfClosed Ending = "half-closed"
	// EndOrderlyThenReset ends the sending side first and then resets the connection.
	EndOrderlyThenReset Ending = "orderly end, then reset"
)

// EarlyServer answers each request at once with a head and a part of a body, without reading the body of the request, and then ends
// the connection.
type EarlyServer struct {
	// Respond returns the head and the part of the body.
	Respond func(header http.Header) string
	// Proceed returns when the connection is to end.
	Proceed func()
	Ending  Ending
}

// Serve starts the server, which ends with the test.
func (s EarlyServer) Serve(t testing.TB) (address string) {
	t.Helper()
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	return Listen(t, func(connection *net.TCPConn) { s.answer(connection, ended) })
}

func (s EarlyServer) answer(connection *net.TCPConn, ended <-chan struct{}) {
	if s.Ending != EndOrderly {
		_ = connection.SetReadBuffer(smallBufferBytes)
	}
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	if _, err := io.WriteString(connection, s.Respond(request.Header)); err != nil {
		return
	}
	s.Proceed()
	if s.Ending != EndReset {
		_ = connection.CloseWrite()
	}
	switch s.Ending {
	case EndOrderly:
		_, _ = io.Copy(io.Discard, request.Body)
		return
	case EndHalfClosed:
		<-ended
	}
	_ = connection.SetLinger(0)
}

// DialSmallBuffers opens connections whose send buffer is far smaller than an upload.
func DialSmallBuffers(ctx context.Context, network, address string) (net.Conn, error) {
	opened, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	_ = opened.(*net.TCPConn).SetWriteBuffer(smallBufferBytes)
	return opened, nil
}

// DialWriteFirst opens connections on which a failure reaches the writer first, which sees it after the reader has seen the end: once
// a response has begun, each read waits for a write to fail, which returns after the read. The kernel reports the failure of a
// connection to one call only.
func DialWriteFirst(ctx context.Context, network, address string) (net.Conn, error) {
	opened, err := DialSmallBuffers(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &writeFirstConn{Conn: opened, failed: newEvent(), ended: newEvent()}, nil
}

type writeFirstConn struct {
	net.Conn
	// failed happens when a write has failed, ended when a read after that has returned.
	failed, ended event
	hasRead       bool
}

// Read implements net.Conn.
func (c *writeFirstConn) Read(buffer []byte) (int, error) {
	if c.hasRead {
		<-c.failed.happened
		defer c.ended.happen()
	}
	c.hasRead = true
	return c.Conn.Read(buffer)
}

// Write implements net.Conn.
func (c *writeFirstConn) Write(content []byte) (int, error) {
	count, err := c.Conn.Write(content)
	if err != nil {
		c.failed.happen()
		<-c.ended.happened
	}
	return count, err
}

// Close implements net.Conn.
func (c *writeFirstConn) Close() error {
	c.failed.happen()
	c.ended.happen()
	return c.Conn.Close()
}

// event is something that happens once.
type event struct {
	happened chan struct{}
	once     *sync.Once
}

func newEvent() event { return event{happened: make(chan struct{}), once: &sync.Once{}} }

func (e event) happen() { e.once.Do(func() { close(e.happened) }) }
