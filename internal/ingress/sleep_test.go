package ingress_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// TestSleepUsesUpTheTimeOfARequest: the router's machine sleeps while a request is being read.
// The steady clock does not count that; the caller does.
func TestSleepUsesUpTheTimeOfARequest(t *testing.T) {
	const timeout = time.Minute
	tests := []struct {
		asleep time.Duration
		status int
	}{
		{0, 200},
		{timeout / 2, 200},
		{2 * timeout, 503},
	}
	for _, test := range tests {
		t.Run(test.asleep.String(), func(t *testing.T) {
			machine := newRawMachine(t, func(request seenRequest, _ int, connection net.Conn) bool {
				return write(connection, ok(request, "whole"))
			})
			d := newDeployment(t)
			d.serve(v1.RouteUnrepeatable, 1, timeout, machine.address)
			connection, err := net.Dial("tcp", d.server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = connection.Close() }()
			write(connection, fmt.Sprintf("POST /a/x HTTP/1.1\r\nHost: shop.example\r\n%s: id\r\nContent-Length: 2\r\n\r\na", headerID))
			for d.handler.InFlight() == 0 {
				time.Sleep(time.Millisecond)
			}
			d.slept.Add(int64(test.asleep))
			write(connection, "b")
			answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = answer.Body.Close() }()
			if answer.StatusCode != test.status {
				t.Errorf("answered with %d, not %d", answer.StatusCode, test.status)
			}
			for _, seen := range machine.requests() {
				remains, err := time.ParseDuration(seen.header.Get(headerWait))
				if err != nil || remains > timeout-test.asleep {
					t.Errorf("the machine was given %s (%v) of %s after a sleep of %s", remains, err, timeout, test.asleep)
				}
			}
			if test.status != 200 && len(machine.requests()) != 0 {
				t.Error("a machine got a request whose time was over")
			}
		})
	}
}
