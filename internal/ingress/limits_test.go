package ingress_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/permits"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// limitingMachine states its rate limit in its responses, unless limit is empty.
type limitingMachine struct {
	*rawMachine
	limit atomic.Pointer[string]
}

func newLimitingMachine(t *testing.T) *limitingMachine {
	t.Helper()
	created := &limitingMachine{}
	created.setLimit("")
	created.rawMachine = newRawMachine(t, func(request receivedRequest, _ int, connection net.Conn) bool {
		return created.answer(request, connection)
	})
	return created
}

func (m *limitingMachine) answer(request receivedRequest, connection net.Conn) bool {
	answer := ok(request, "fine")
	if limit := *m.limit.Load(); limit != "" {
		answer = withHeader(answer, headerLimit, limit)
	}
	return write(connection, answer)
}

func withHeader(answer, name, value string) string {
	return strings.Replace(answer, "\r\n", "\r\n"+name+": "+value+"\r\n", 1)
}

func (m *limitingMachine) setLimit(limit string) { m.limit.Store(&limit) }

func refused(int, string) *wirepb.PermitReply {
	return &wirepb.PermitReply{RetryAfterMs: 1000}
}

// sendWithShortTimeout sends a request with a short timeout.
func (d *deployment) sendWithShortTimeout(id string) reply {
	d.t.Helper()
	return d.send(http.MethodGet, "/a/b", id, "", headerWait, "100ms")
}

// TestLimitedMachineRequiresPermit checks that a machine with a limit, learned from a response or
// from a digest, gets no request without a permit, and that permit requests include the limit.
func TestLimitedMachineRequiresPermit(t *testing.T) {
	for _, test := range []struct {
		name   string
		inform func(d *deployment, machine *limitingMachine)
		got    int
	}{
		{"by an answer", func(d *deployment, machine *limitingMachine) {
			machine.setLimit("0.5")
			d.sendWithShortTimeout("first")
		}, 1},
		{"by a digest", func(d *deployment, _ *limitingMachine) {
			d.view.ApplyDigest(&wirepb.ClusterDigest{Term: 1, Sequence: 1, Roster: &wirepb.Roster{}, Limits: []*wirepb.MachineLimit{
				{Machine: "m0", Limited: true, PerSecond: 0.5},
			}})
			for len(d.handler.MachineLimits()) == 0 {
				time.Sleep(time.Millisecond)
			}
		}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			deployment := newDeployment(t)
			machine := newLimitingMachine(t)
			deployment.serve(v1.RouteRepeatable, 3, long, machine.address)
			test.inform(deployment, machine)
			if limits := deployment.handler.MachineLimits(); len(limits) != 1 || limits[0].GetMachine() != "m0" || limits[0].GetPerSecond() != 0.5 {
				t.Fatalf("reported limits: %v", limits)
			}
			var request *wirepb.PermitRequest
			deployment.answerPermitRequests(func(asked *wirepb.PermitRequest) *wirepb.PermitReply {
				request = asked
				return refused(0, "")
			})
			answer := deployment.sendWithShortTimeout("second")
			if answer.status != http.StatusServiceUnavailable || !strings.Contains(answer.body, "limited") || !strings.Contains(answer.body, "not-run") {
				t.Errorf("the client got %d %s", answer.status, answer.body)
			}
			if seen := len(machine.requests()); seen != test.got {
				t.Errorf("the machine got %d requests", seen)
			}
			if limit := request.GetLimit(); !request.GetLimitOnly() || !limit.GetLimited() || limit.GetPerSecond() != 0.5 {
				t.Errorf("permit request: %v", request)
			}
		})
	}
}

// answerPermitRequests is like answerPermits, but passes the permit requests to answer.
func (d *deployment) answerPermitRequests(answer func(request *wirepb.PermitRequest) *wirepb.PermitReply) {
	permit := feed.PermitFunc(func(_ context.Context, request *wirepb.PermitRequest) (*wirepb.PermitReply, error) {
		return answer(request), nil
	})
	d.permit.Store(&permit)
}

// TestLimitEndedOnlyByLaterResponse checks that a response without a limit ends the limit only if its request
// was sent after the limit became known.
func TestLimitEndedOnlyByLaterResponse(t *testing.T) {
	deployment := newDeployment(t)
	release := make(chan struct{})
	machine := &limitingMachine{}
	machine.setLimit("1")
	machine.rawMachine = newRawMachine(t, func(request receivedRequest, _ int, connection net.Conn) bool {
		if request.header.Get(headerID) == "slow" {
			<-release
			return write(connection, ok(request, "names none"))
		}
		return machine.answer(request, connection)
	})
	deployment.serve(v1.RouteRepeatable, 1, long, machine.address)
	slow := make(chan reply)
	go func() { slow <- deployment.send(http.MethodGet, "/a/b", "slow", "") }()
	for len(machine.requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	deployment.send(http.MethodGet, "/a/b", "names one", "")
	close(release)
	if answer := <-slow; answer.status != http.StatusOK {
		t.Fatalf("the client got %d %s", answer.status, answer.body)
	}
	leader := deployment.answerPermits(granted)
	machine.setLimit("")
	deployment.send(http.MethodGet, "/a/b", "asks once more", "")
	if asked := leader.machines(); len(asked) != 1 {
		t.Errorf("permits were requested for %v", asked)
	}
	deployment.send(http.MethodGet, "/a/b", "needs none", "")
	if asked := leader.machines(); len(asked) != 1 {
		t.Errorf("after the end of the limit permits were requested for %v", asked)
	}
}

// TestRequestWithoutPermitGoesElsewhere checks that a request without a permit, or with an expired one,
// goes to another machine as its first attempt.
func TestRequestWithoutPermitGoesElsewhere(t *testing.T) {
	deployment := newDeployment(t)
	limited, other := newLimitingMachine(t), newAnsweringMachine(t, "fine")
	limited.setLimit("0")
	deployment.serve(v1.RouteRepeatable, 1, long, limited.address, other.address)
	for len(deployment.handler.MachineLimits()) == 0 {
		deployment.send(http.MethodGet, "/a/b", "tells", "")
	}
	deployment.answerPermits(refused)
	before := len(limited.requests())
	for range 20 {
		if answer := deployment.sendWithShortTimeout("id"); answer.status != http.StatusOK {
			t.Fatalf("the client got %d %s", answer.status, answer.body)
		}
	}
	if seen := len(limited.requests()); seen != before {
		t.Errorf("the limited machine got %d requests", seen-before)
	}
	deployment.answerPermits(func(int, string) *wirepb.PermitReply {
		deployment.suspended.Add(int64(permits.Lifetime))
		return &wirepb.PermitReply{Granted: true}
	})
	for range 20 {
		deployment.sendWithShortTimeout("id")
	}
	if seen := len(limited.requests()); seen != before {
		t.Errorf("with expired permits the limited machine got %d requests", seen-before)
	}
}

// TestLimitIgnoredInForeignResponse checks that limits in responses that are not genuine are ignored.
func TestLimitIgnoredInForeignResponse(t *testing.T) {
	deployment := newDeployment(t)
	machine := newRawMachine(t, func(request receivedRequest, _ int, connection net.Conn) bool {
		answer := strings.Replace(ok(request, "fine"), headerSeal, "Another", 1)
		return write(connection, withHeader(answer, headerLimit, "1"))
	})
	deployment.serve(v1.RouteRepeatable, 1, long, machine.address)
	deployment.send(http.MethodGet, "/a/b", "1", "")
	if limits := deployment.handler.MachineLimits(); len(limits) > 0 {
		t.Errorf("recorded limits: %v", limits)
	}
}
