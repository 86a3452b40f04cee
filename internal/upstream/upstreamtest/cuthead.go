package upstreamtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// CutHead is a server that ends its responses after some bytes of their head.
type CutHead struct {
	// Endpoint is its URL.
	Endpoint string

	head            string
	length, arrived atomic.Int64
}

// ServeCutHead starts a server whose responses would begin with a head. It ends with the test.
func ServeCutHead(t testing.TB, head string) *CutHead {
	t.Helper()
	server := &CutHead{head: head}
	server.Endpoint = "http://" + Listen(t, server.serve)
	return server
}

func (c *CutHead) serve(connection *net.TCPConn) {
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	c.arrived.Add(1)
	_, _ = io.WriteString(connection, c.head[:c.length.Load()])
}

// SetLength sets how many bytes of the head are sent from now on.
func (c *CutHead) SetLength(length int) { c.length.Store(int64(length)) }

// Arrived returns the number of requests that arrived.
func (c *CutHead) Arrived() int { return int(c.arrived.Load()) }
