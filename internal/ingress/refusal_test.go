package ingress_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// TestEarlyRefusalDoesNotWaitForItsBody guards against a request that counts as in flight, and delays the stop of the node,
// for as long as a client does not send the body that is not needed.
func TestEarlyRefusalDoesNotWaitForItsBody(t *testing.T) {
	router := newDeployment(t)
	router.serve(v1.RouteStream, 1, 10*time.Second)
	connection, err := net.Dial("tcp", router.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(long))
	write(connection, "POST /no-route HTTP/1.1\r\nHost: shop.example\r\n"+headerID+": id\r\nContent-Length: 900\r\n\r\n")
	if status, _, _ := readRaw(connection); status != http.StatusNotFound {
		t.Errorf("status %d", status)
	}
	for router.handler.InFlight() != 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestConnectionServesAfterEarlyRefusal guards against breaking a client's connection with a refusal that does not wait
// for the request's body.
func TestConnectionServesAfterEarlyRefusal(t *testing.T) {
	machine := newRawMachine(t, func(request receivedRequest, _ int, connection net.Conn) bool {
		return write(connection, ok(request, "whole"))
	})
	router := newDeployment(t)
	router.serve(v1.RouteStream, 1, 10*time.Second, machine.address)
	connection, err := net.Dial("tcp", router.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(long))
	reader := bufio.NewReader(connection)
	for _, path := range []string{"/no-route", "/a/x", "/no-route", "/a/x"} {
		write(connection, "POST "+path+" HTTP/1.1\r\nHost: shop.example\r\n"+headerID+": id\r\nContent-Length: 4\r\n\r\n")
		time.Sleep(10 * time.Millisecond) // The refusal usually comes before the body.
		write(connection, "body")
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("%s: no response: %v", path, err)
		}
		want := map[string]int{"/no-route": http.StatusNotFound, "/a/x": http.StatusOK}[path]
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != want {
			t.Errorf("%s: status %d (%v), want %d", path, response.StatusCode, err, want)
		}
	}
}

// TestNoResponseIsNoSuccess guards against completing a request that was given up without a response as an empty success.
func TestNoResponseIsNoSuccess(t *testing.T) {
	left := make(chan struct{})
	machine := newRawMachine(t, func(receivedRequest, int, net.Conn) bool {
		<-left
		return false
	})
	router := newDeployment(t)
	router.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	connection, err := net.Dial("tcp", router.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(long))
	write(connection, "POST /a/x HTTP/1.1\r\nHost: shop.example\r\n"+headerID+": id\r\nContent-Length: 4\r\n\r\nbody")
	for len(machine.requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	// The server takes the end of the client's side for a client that has left.
	if err := connection.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	for router.handler.InFlight() != 0 {
		time.Sleep(time.Millisecond)
	}
	close(left)
	if response, err := http.ReadResponse(bufio.NewReader(connection), nil); err == nil {
		t.Errorf("the client got status %d", response.StatusCode)
	}
}
