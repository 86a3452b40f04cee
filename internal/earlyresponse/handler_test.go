package earlyresponse

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/weldline/weldline/internal/problem"
)

// singleListener accepts one connection.
type singleListener struct {
	connections chan net.Conn
}

func (l singleListener) Accept() (net.Conn, error) {
	connection, open := <-l.connections
	if !open {
		return nil, net.ErrClosed
	}
	return connection, nil
}

func (l singleListener) Close() error { return nil }

func (l singleListener) Addr() net.Addr { return &net.TCPAddr{} }

// connect returns a client's connection to a server of a handler.
func connect(t *testing.T, next http.HandlerFunc) net.Conn {
	t.Helper()
	client, server := net.Pipe()
	listener := singleListener{connections: make(chan net.Conn, 1)}
	listener.connections <- server
	running := &http.Server{Handler: Handler{Next: next, Logger: slog.New(slog.DiscardHandler)}}
	go func() { _ = running.Serve(listener) }()
	t.Cleanup(func() {
		close(listener.connections)
		_ = running.Close()
		_ = client.Close()
		synctest.Wait()
	})
	return client
}

// refuse answers without reading the body.
func refuse(writer http.ResponseWriter, _ *http.Request) {
	problem.New(problem.TypeNotFound, http.StatusNotFound, "no such path").Write(writer)
}

func send(t *testing.T, connection net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(connection, text); err != nil {
		t.Fatal(err)
	}
}

func readResponse(t *testing.T, reader *bufio.Reader) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	return response
}

// TestSilentClientIsDisconnected guards against connections that wait for the rest of a body without end.
func TestSilentClientIsDisconnected(t *testing.T) {
	for _, test := range []struct {
		length int
		closes bool
	}{{100, false}, {maxKeptBytes + 1, true}} {
		synctest.Test(t, func(t *testing.T) {
			connection := connect(t, refuse)
			reader := bufio.NewReader(connection)
			send(t, connection, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: "+strconv.Itoa(test.length)+"\r\n\r\n")
			if response := readResponse(t, reader); response.StatusCode != http.StatusNotFound || response.Close != test.closes {
				t.Errorf("%d bytes: status %d, closes %t", test.length, response.StatusCode, response.Close)
			}
			started := time.Now()
			if _, err := reader.ReadByte(); err != io.EOF || time.Since(started) != maxSilence {
				t.Errorf("%d bytes: %v after %s", test.length, err, time.Since(started))
			}
		})
	}
}

// TestEndlessClientIsDisconnected guards against a client that occupies a connection with a body that never ends.
func TestEndlessClientIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		connection := connect(t, refuse)
		reader := bufio.NewReader(connection)
		send(t, connection, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
		if response := readResponse(t, reader); !response.Close {
			t.Error("the client is not told that the connection ends")
		}
		started := time.Now()
		for {
			if _, err := io.WriteString(connection, "1\r\nx\r\n"); err != nil {
				break
			}
			time.Sleep(time.Second)
		}
		if sent := time.Since(started); sent < maxDiscardTime || sent > maxDiscardTime+time.Second {
			t.Errorf("disconnected after %s", sent)
		}
	})
}

// TestConnectionIsKeptAfterWholeBody checks that requests follow a refusal on its connection once the body has arrived,
// however long that takes.
func TestConnectionIsKeptAfterWholeBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		connection := connect(t, refuse)
		reader := bufio.NewReader(connection)
		for range 3 {
			send(t, connection, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\n")
			readResponse(t, reader)
			for range 8 {
				time.Sleep(maxSilence / 2)
				send(t, connection, "x")
			}
			time.Sleep(2 * maxDiscardTime)
		}
	})
}

// TestResponseWithoutLengthIsWhole checks that a response whose end only the server can mark is not cut off.
func TestResponseWithoutLengthIsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		connection := connect(t, func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(writer, "first")
			_ = http.NewResponseController(writer).Flush()
			_, _ = io.WriteString(writer, "second")
		})
		send(t, connection, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody")
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil {
			t.Fatal(err)
		}
		if content, err := io.ReadAll(response.Body); err != nil || string(content) != "firstsecond" {
			t.Errorf("%q, %v", content, err)
		}
	})
}

// TestMissingResponseClosesConnection guards against completing a request without a response as an empty success.
func TestMissingResponseClosesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		connection := connect(t, func(http.ResponseWriter, *http.Request) {})
		send(t, connection, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
		if response, err := http.ReadResponse(bufio.NewReader(connection), nil); err == nil {
			t.Errorf("the client got status %d", response.StatusCode)
		}
	})
}
