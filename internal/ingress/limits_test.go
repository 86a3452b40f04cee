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

// limitingMachine is a machine that names a limit in its answers while it is set.
type limitingMachine struct {
	*rawMachine
	limit atomic.Pointer[string]
}

func newLimitingMachine(t *testing.T) *limitingMachine {
	t.Helper()
	created := &limitingMachine{}
	created.name("")
	created.rawMachine = newRawMachine(t, func(request seenRequest, _ int, connection net.Conn) bool {
		return created.answer(request, connection)
	})
	return created
}

func (m *limitingMachine) answer(request seenRequest, connection net.Conn) bool {
	answer := ok(request, "fine")
	if limit := *m.limit.Load(); limit != "" {
		answer = withHeader(answer, headerLimit, limit)
	}
	return write(connection, answer)
}

// withHeader adds a header to an answer.
func withHeader(answer, name, value string) string {
	return strings.Replace(answer, "\r\n", "\r\n"+name+": "+value+"\r\n", 1)
}

func (m *limitingMachine) name(limit string) { m.limit.Store(&limit) }

func refused(int, string) *wirepb.PermitReply {
	return &wirepb.PermitReply{RetryAfterMs: 1000}
}

// askShort asks for something that may wait for a moment.
func (d *deployment) askShort(id string) reply {
	d.t.Helper()
	return d.ask(http.MethodGet, "/a/b", id, "", headerWait, "100ms")
}

// TestLimitedMachineGetsNothingWithoutAPermit: from the answer that names a limit on. The leader hears
// the limit with the question, and routers that were not told by way of its digests.
func TestLimitedMachineGetsNothingWithoutAPermit(t *testing.T) {
	for _, test := range []struct {
		name string
		tell func(d *deployment, machine *limitingMachine)
		got  int
	}{
		{"by an answer", func(d *deployment, machine *limitingMachine) {
			machine.name("0.5")
			d.askShort("first")
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
			test.tell(deployment, machine)
			if limits := deployment.handler.MachineLimits(); len(limits) != 1 || limits[0].GetMachine() != "m0" || limits[0].GetPerSecond() != 0.5 {
				t.Fatalf("the leader is told %v", limits)
			}
			var request *wirepb.PermitRequest
			deployment.askRequests(func(asked *wirepb.PermitRequest) *wirepb.PermitReply {
				request = asked
				return refused(0, "")
			})
			answer := deployment.askShort("second")
			if answer.status != http.StatusServiceUnavailable || !strings.Contains(answer.body, "limited") || !strings.Contains(answer.body, "not-run") {
				t.Errorf("the caller got %d %s", answer.status, answer.body)
			}
			if seen := len(machine.requests()); seen != test.got {
				t.Errorf("the machine got %d requests", seen)
			}
			if limit := request.GetLimit(); !request.GetLimitOnly() || !limit.GetLimited() || limit.GetPerSecond() != 0.5 {
				t.Errorf("the leader is asked %v", request)
			}
		})
	}
}

// askRequests is askFor with whole requests.
func (d *deployment) askRequests(answer func(request *wirepb.PermitRequest) *wirepb.PermitReply) {
	permit := feed.PermitFunc(func(_ context.Context, request *wirepb.PermitRequest) (*wirepb.PermitReply, error) {
		return answer(request), nil
	})
	d.permit.Store(&permit)
}

// TestLimitEndsByALaterAnswerOnly: one whose request was sent before the limit was heard of may be older.
func TestLimitEndsByALaterAnswerOnly(t *testing.T) {
	deployment := newDeployment(t)
	release := make(chan struct{})
	machine := &limitingMachine{}
	machine.name("1")
	machine.rawMachine = newRawMachine(t, func(request seenRequest, _ int, connection net.Conn) bool {
		if request.header.Get(headerID) == "slow" {
			<-release
			return write(connection, ok(request, "names none"))
		}
		return machine.answer(request, connection)
	})
	deployment.serve(v1.RouteRepeatable, 1, long, machine.address)
	slow := make(chan reply)
	go func() { slow <- deployment.ask(http.MethodGet, "/a/b", "slow", "") }()
	for len(machine.requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	deployment.ask(http.MethodGet, "/a/b", "names one", "")
	close(release)
	if answer := <-slow; answer.status != http.StatusOK {
		t.Fatalf("the caller got %d %s", answer.status, answer.body)
	}
	leader := deployment.askFor(granted)
	machine.name("")
	deployment.ask(http.MethodGet, "/a/b", "asks once more", "")
	if asked := leader.machines(); len(asked) != 1 {
		t.Errorf("permits were asked for %v", asked)
	}
	deployment.ask(http.MethodGet, "/a/b", "needs none", "")
	if asked := leader.machines(); len(asked) != 1 {
		t.Errorf("after the limit has ended permits were asked for %v", asked)
	}
}

// TestLimitedMachineIsPassedOver: without a permit the request goes to another machine, at once and as
// its first attempt; a permit that is over by the time the connection stands is not used.
func TestLimitedMachineIsPassedOver(t *testing.T) {
	deployment := newDeployment(t)
	limited, other := newLimitingMachine(t), answering(t, "fine")
	limited.name("0")
	deployment.serve(v1.RouteRepeatable, 1, long, limited.address, other.address)
	for len(deployment.handler.MachineLimits()) == 0 {
		deployment.ask(http.MethodGet, "/a/b", "tells", "")
	}
	deployment.askFor(refused)
	before := len(limited.requests())
	for range 20 {
		if answer := deployment.askShort("id"); answer.status != http.StatusOK {
			t.Fatalf("the caller got %d %s", answer.status, answer.body)
		}
	}
	if seen := len(limited.requests()); seen != before {
		t.Errorf("the limited machine got %d requests", seen-before)
	}
	deployment.askFor(func(int, string) *wirepb.PermitReply {
		deployment.slept.Add(int64(permits.Lifetime))
		return &wirepb.PermitReply{Granted: true}
	})
	for range 20 {
		deployment.askShort("id")
	}
	if seen := len(limited.requests()); seen != before {
		t.Errorf("with permits that were over the limited machine got %d requests", seen-before)
	}
}

// TestNotGenuineAnswersNameNoLimit: a machine is not bound by what a fault put in the place of its answer.
func TestNotGenuineAnswersNameNoLimit(t *testing.T) {
	deployment := newDeployment(t)
	machine := newRawMachine(t, func(request seenRequest, _ int, connection net.Conn) bool {
		answer := strings.Replace(ok(request, "fine"), headerSeal, "Another", 1)
		return write(connection, withHeader(answer, headerLimit, "1"))
	})
	deployment.serve(v1.RouteRepeatable, 1, long, machine.address)
	deployment.ask(http.MethodGet, "/a/b", "1", "")
	if limits := deployment.handler.MachineLimits(); len(limits) > 0 {
		t.Errorf("the router took %v", limits)
	}
}
