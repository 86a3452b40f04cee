package httpconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const getRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// newPair returns a tracked connection of a server and that of its client.
func newPair(t *testing.T, tracker *Tracker) (*Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := Listener{Listener: listener, Tracker: tracker}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = client.Close()
		_ = accepted.Close()
	})
	return accepted.(*Conn), client.(*net.TCPConn)
}

// newUsedPair is like newPair, after a first request and its response.
func newUsedPair(t *testing.T, tracker *Tracker) (*Conn, *net.TCPConn) {
	t.Helper()
	server, client := newPair(t, tracker)
	_, _ = io.WriteString(client, getRequest)
	if _, err := server.Read(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	observe(server, http.StateIdle)
	return server, client
}

// Guards against connections that are closed as idle after their request was read. The first one is closed before, the second one
// is not, and the others race.
func TestConnectionIsKeptOnceItsRequestIsRead(t *testing.T) {
	kept, closed := 0, 0
	for round := range 400 {
		tracker := &Tracker{}
		server, client := newUsedPair(t, tracker)
		var running sync.WaitGroup
		closeIdle := func() {
			time.Sleep(time.Duration(round%20) * 5 * time.Microsecond)
			tracker.CloseIdle()
		}
		if round == 0 {
			closeIdle()
		}
		running.Go(func() { _, _ = client.Write([]byte("request")) })
		if round > 1 {
			running.Go(closeIdle)
		}
		buffer := make([]byte, 100)
		count, err := server.Read(buffer)
		if round == 1 {
			closeIdle()
		}
		running.Wait()
		if count == 0 {
			closed++
			if !errors.Is(err, net.ErrClosed) {
				t.Fatalf("a read from a connection that was closed as idle fails with %v", err)
			}
			continue
		}
		kept++
		if _, err := server.Write([]byte("response")); err != nil {
			t.Fatalf("the request was read, but its connection is closed: %v", err)
		}
		if received, err := client.Read(buffer); err != nil || string(buffer[:received]) != "response" {
			t.Fatalf("the client got %q, %v", buffer[:received], err)
		}
	}
	if kept == 0 || closed == 0 {
		t.Errorf("%d connections were kept and %d closed, so the race was not met", kept, closed)
	}
}

func TestConnectionIsClosedOnceItIsIdle(t *testing.T) {
	tracker := &Tracker{}
	server, client := newPair(t, tracker)
	if tracker.Busy() != 0 {
		t.Error("a connection without a request is busy")
	}
	_, _ = io.WriteString(client, getRequest)
	if _, err := server.Read(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	tracker.CloseIdle()
	if tracker.Busy() != 1 {
		t.Error("the connection is not busy")
	}
	observe(server, http.StateIdle)
	expectClosed(t, server)
	if _, err := client.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the client reads %v, not the end", err)
	}
	if tracker.Busy() != 0 || len(tracker.list()) != 0 {
		t.Error("a closed connection is tracked")
	}
}

// expectClosed checks that a read ends with net.ErrClosed, as a server's does that waits for a request, and closes the connection.
func expectClosed(t *testing.T, server *Conn) {
	t.Helper()
	if err := server.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Error(err)
	}
	if count, err := server.Read(make([]byte, 100)); count > 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("the server reads %d bytes, %v", count, err)
	}
	_ = server.Close()
}

// Guards against closing a connection under requests that have arrived, of which only the first was passed to the server.
func TestRequestsThatHaveArrivedAreAnswered(t *testing.T) {
	tracker := &Tracker{}
	server, client := newPair(t, tracker)
	_, _ = io.WriteString(client, getRequest+getRequest)
	for server.queued(unix.SIOCINQ) < 2*len(getRequest) {
		time.Sleep(time.Millisecond)
	}
	tracker.CloseIdle()
	for number := range 2 {
		if count, err := server.Read(make([]byte, 1000)); err != nil || count != len(getRequest) {
			t.Fatalf("request %d: read %d bytes, %v", number, count, err)
		}
		if isLast := server.isLastResponse(); isLast != (number == 1) {
			t.Errorf("request %d: the response is the last one: %t", number, isLast)
		}
		observe(server, http.StateIdle)
	}
	expectClosed(t, server)
}

// Guards against closing a connection that was opened just before the stop, and whose first request is still on its way.
func TestNewConnectionMaySendItsFirstRequest(t *testing.T) {
	tracker := &Tracker{}
	server, client := newPair(t, tracker)
	tracker.CloseIdle()
	if tracker.Busy() != 1 {
		t.Error("the stop does not wait for the first request")
	}
	read := make(chan error)
	go func() {
		_, err := server.Read(make([]byte, 100))
		read <- err
	}()
	_, _ = io.WriteString(client, getRequest)
	if err := <-read; err != nil {
		t.Errorf("the first request is not read: %v", err)
	}
	silent, _ := newPair(t, tracker)
	expectClosed(t, silent)
}

// net/http ends a pending read by a deadline, and distinguishes clients that leave from invalid requests by the type of the error.
func TestReadFailsLikeTCP(t *testing.T) {
	server, client := newPair(t, &Tracker{})
	if err := server.SetReadDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	_, err := server.Read(make([]byte, 1))
	var timeout net.Error
	if !errors.Is(err, os.ErrDeadlineExceeded) || !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("after the deadline: %v", err)
	}
	if err := server.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	_ = client.SetLinger(0)
	_ = client.Close()
	_, err = server.Read(make([]byte, 1))
	var broken *net.OpError
	if !errors.As(err, &broken) || broken.Op != "read" {
		t.Errorf("after a reset: %v", err)
	}
	left, leaving := newPair(t, &Tracker{})
	_ = leaving.Close()
	if _, err := left.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("after the client left: %v", err)
	}
}

func TestOtherConnectionsAreTracked(t *testing.T) {
	tracker := &Tracker{}
	near, far := net.Pipe()
	server := tracker.Wrap(near)
	go func() { _, _ = io.WriteString(far, getRequest) }()
	if count, err := server.Read(make([]byte, 100)); count != len(getRequest) || err != nil || tracker.Busy() != 1 {
		t.Errorf("read %d, %v, with %d busy", count, err, tracker.Busy())
	}
	observe(server, http.StateIdle)
	if tracker.Busy() != 0 {
		t.Error("a connection without a request is busy")
	}
	tracker.CloseIdle()
	expectClosed(t, server)
	if _, err := far.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the client reads %v, not the end", err)
	}
}
