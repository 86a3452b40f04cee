package ingress_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/ingress"
	"github.com/weldline/weldline/internal/retrybudget"
)

// Guards against retries beyond the budget and max_attempts after replies of other routers that say nothing about their sends.
func TestRepliesWithoutResultCountAsSends(t *testing.T) {
	for _, test := range []struct {
		name   string
		budget retrybudget.Config
		want   int32
	}{
		{"no budget", retrybudget.Config{Window: 10 * time.Second}, 1},
		{"two attempts", retrybudget.Config{Ratio: 1, Slack: 1000, Window: time.Nanosecond}, 2},
	} {
		cut := newCutRouterWith(t, "cut", func(options *ingress.Options) { options.Budget = test.budget })
		cut.serve(v1.RouteRepeatable, 2, long, newRawMachine(t, respondOK).address)
		var forwards atomic.Int32
		var routers []string
		for number := range 4 {
			odd := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				if request.Header.Get(headerForward) != "" {
					forwards.Add(1)
				}
				writer.WriteHeader(http.StatusTeapot)
			}))
			defer odd.Close()
			routers = append(routers, "odd-"+strconv.Itoa(number)+" z "+strings.TrimPrefix(odd.URL, "http://"))
		}
		cut.knowRouters(routers...)
		got := cut.send(http.MethodGet, "/a/b", "id", "")
		if got.status != http.StatusBadGateway || forwards.Load() != test.want {
			t.Errorf("%s: the client got %d after %d forwards, not %d", test.name, got.status, forwards.Load(), test.want)
		}
	}
}

// Guards against more sends than max_attempts after replies of other routers that are lost: each of them may have retried.
func TestSendsOfLostRepliesCount(t *testing.T) {
	const maxAttempts = 3
	machines := newResettingMachines(t, 5)
	cut := newCutRouter(t, "cut")
	cut.serve(v1.RouteRepeatable, maxAttempts, long, addressesOf(machines)...)
	var routers []string
	for number := range 3 {
		other := newDeployment(t)
		other.serve(v1.RouteRepeatable, maxAttempts, long, addressesOf(machines)...)
		routers = append(routers, "other-"+strconv.Itoa(number)+" z "+loseReplies(t, other.handler.ForwardHandler()))
	}
	cut.knowRouters(routers...)
	if got := cut.send(http.MethodGet, "/a/b", "id", ""); got.status != http.StatusBadGateway {
		t.Errorf("the client got %d", got.status)
	}
	if sends := countRequests(machines); sends != maxAttempts {
		t.Errorf("%d machines got the request, %d may", sends, maxAttempts)
	}
}

// Guards against a router that keeps an attempt back although it knows no second router that could use it.
func TestOnlyOtherRouterMayUseAllAttempts(t *testing.T) {
	const maxAttempts = 3
	machines := newResettingMachines(t, 5)
	cut, other := newCutRouter(t, "cut"), newDeployment(t)
	for _, router := range []*deployment{cut, other} {
		router.serve(v1.RouteRepeatable, maxAttempts, long, addressesOf(machines)...)
	}
	cut.knowRouters("other z " + other.acceptForwards())
	if got := cut.send(http.MethodGet, "/a/b", "id", ""); got.status != http.StatusBadGateway {
		t.Errorf("the client got %d", got.status)
	}
	if sends := countRequests(machines); sends != maxAttempts {
		t.Errorf("%d machines got the request, %d may", sends, maxAttempts)
	}
}

// newResettingMachines returns machines that reset the connection of each request.
func newResettingMachines(t *testing.T, count int) []*rawMachine {
	t.Helper()
	var machines []*rawMachine
	for range count {
		machines = append(machines, newRawMachine(t, func(_ receivedRequest, _ int, connection net.Conn) bool { return reset(connection) }))
	}
	return machines
}

func addressesOf(machines []*rawMachine) []string {
	var addresses []string
	for _, machine := range machines {
		addresses = append(addresses, machine.address)
	}
	return addresses
}

// countRequests returns how many requests the machines got.
func countRequests(machines []*rawMachine) int {
	count := 0
	for _, machine := range machines {
		count += len(machine.requests())
	}
	return count
}

// loseReplies serves a handler of forwarded requests, closes the connection in place of their responses, and returns its address.
func loseReplies(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get(headerForward) == "" {
			handler.ServeHTTP(writer, request)
			return
		}
		handler.ServeHTTP(httptest.NewRecorder(), request)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}
