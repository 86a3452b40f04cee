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

// TestSuspendedTimeCountsTowardsDeadline checks that time suspended while a request is being read counts
// towards its deadline.
func TestSuspendedTimeCountsTowardsDeadline(t *testing.T) {
	const timeout = time.Minute
	tests := []struct {
		suspended time.Duration
		status    int
	}{
		{0, 200},
		{timeout / 2, 200},
		{2 * timeout, 503},
	}
	for _, test := range tests {
		t.Run(test.suspended.String(), func(t *testing.T) {
			machine := newRawMachine(t, func(request receivedRequest, _ int, connection net.Conn) bool {
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
			d.suspended.Add(int64(test.suspended))
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
				if err != nil || remains > timeout-test.suspended {
					t.Errorf("the machine got %s (%v) of %s after %s suspended", remains, err, timeout, test.suspended)
				}
			}
			if test.status != 200 && len(machine.requests()) != 0 {
				t.Error("a machine got a request past its deadline")
			}
		})
	}
}
