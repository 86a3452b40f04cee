package upstreamtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// maxEndlessBytes is where an endless response ends after all, so that a test that fails does.
const maxEndlessBytes = 256 << 20

// Endless is a server whose response to its first request never ends.
type Endless struct {
	// Endpoint is its URL.
	Endpoint string
	taken    chan int
}

// ServeEndless starts a server that responds with a head and then repeats a text.
func ServeEndless(t testing.TB, head, repeated string) *Endless {
	t.Helper()
	server := &Endless{taken: make(chan int, 1)}
	server.Endpoint = "http://" + Listen(t, func(connection *net.TCPConn) {
		server.taken <- respondEndlessly(connection, head, strings.Repeat(repeated, 1000))
	})
	return server
}

// respondEndlessly returns how many bytes were taken until the connection ended.
func respondEndlessly(connection net.Conn, head, repeated string) (taken int) {
	if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
		return 0
	}
	taken, err := io.WriteString(connection, head)
	for err == nil && taken < maxEndlessBytes {
		var count int
		count, err = io.WriteString(connection, repeated)
		taken += count
	}
	return taken
}

// Taken waits until the connection has ended, and returns how many bytes the client took.
func (e *Endless) Taken() int { return <-e.taken }
