package ingress_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/ingress"
	"github.com/weldline/weldline/internal/permits"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/retrybudget"
	"github.com/weldline/weldline/internal/warming"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// fakeLeader answers permit requests and records their machines.
type fakeLeader struct {
	mutex  sync.Mutex
	asked  []string
	answer func(number int, machine string) *wirepb.PermitReply
}

func (l *fakeLeader) permit(_ context.Context, request *wirepb.PermitRequest) (*wirepb.PermitReply, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.asked = append(l.asked, request.GetMachine())
	return l.answer(len(l.asked), request.GetMachine()), nil
}

func (l *fakeLeader) machines() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.asked)
}

func (d *deployment) answerPermits(answer func(number int, machine string) *wirepb.PermitReply) *fakeLeader {
	leader := &fakeLeader{answer: answer}
	permit := feed.PermitFunc(leader.permit)
	d.permit.Store(&permit)
	return leader
}

func granted(int, string) *wirepb.PermitReply { return &wirepb.PermitReply{Granted: true} }

// serveWarming is serve for a pool with warm-up.
func (d *deployment) serveWarming(attempts int, addresses ...string) {
	d.serve(v1.RouteRepeatable, attempts, long, addresses...)
	d.apply(d.object(v1.KindPool, "pool", &v1.PoolSpec{Warming: &v1.WarmingSpec{RequestsPerSecond: 5}}, nil))
}

// digest sends the warm-up state of the machines and waits until the router has applied it.
func (d *deployment) digest(sequence uint64, units ...byte) {
	digest := &wirepb.ClusterDigest{
		Term: 1, Sequence: sequence, Revision: d.revision, RosterSequence: 1, Roster: &wirepb.Roster{},
		MachineWarming: units,
	}
	for position := range units {
		digest.Roster.Machines = append(digest.Roster.Machines, "m"+string(rune('0'+position)))
	}
	d.view.ApplyDigest(digest)
	warmUp := 0
	for _, unit := range units {
		if unit > 0 {
			warmUp++
		}
	}
	for len(d.handler.WarmingMachines()) != warmUp {
		time.Sleep(time.Millisecond)
	}
}

// TestWarmingMachineRequiresPermit checks that a machine gets no request without a permit, for each
// reason for which it counts as warming up.
func TestWarmingMachineRequiresPermit(t *testing.T) {
	for _, test := range []struct {
		name   string
		before func(d *deployment)
	}{
		{"new", func(*deployment) {}},
		{"reported as warming up", func(d *deployment) { d.digest(1, 200) }},
		{"its status is unknown", func(d *deployment) { d.digest(1, warming.UnitsUnknown) }},
		{"its drain has ended", func(d *deployment) {
			d.digest(1, 0)
			d.apply(d.object(v1.KindZoneDrain, "z", &v1.ZoneDrainSpec{}, nil))
		}},
		{"its record has changed", func(d *deployment) {
			d.digest(1, 0)
			machine, _ := d.view.Machine("m0")
			d.apply(d.object(v1.KindMachine, "m0", machine.Spec, &v1.MachineStatus{Phase: v1.MachineLive}))
		}},
		{"the router was suspended", func(d *deployment) {
			d.digest(1, 0)
			d.handler.Resumed()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			deployment := newDeployment(t)
			machine := newAnsweringMachine(t, "fine")
			deployment.serveWarming(3, machine.address)
			test.before(deployment)
			answer := deployment.send(http.MethodGet, "/a/b", "1", "", headerWait, "300ms")
			if answer.status != http.StatusServiceUnavailable || !strings.Contains(answer.body, "warm up") || !strings.Contains(answer.body, "not-run") {
				t.Errorf("the client got %d %s", answer.status, answer.body)
			}
			if answer.header.Get("Retry-After") == "" {
				t.Error("there is no Retry-After")
			}
			if seen := machine.requests(); len(seen) > 0 {
				t.Errorf("the machine got %v", seen)
			}
			leader := deployment.answerPermits(granted)
			if answer := deployment.send(http.MethodGet, "/a/b", "2", ""); answer.status != http.StatusOK {
				t.Errorf("with a permit the client got %d %s", answer.status, answer.body)
			}
			if asked := leader.machines(); !slices.Equal(asked, []string{"m0"}) {
				t.Errorf("permits were requested for %v", asked)
			}
		})
	}
}

// TestWarmMachineNeedsNoPermit checks that no permit is requested for machines reported as warm and
// for those of pools without warm-up.
func TestWarmMachineNeedsNoPermit(t *testing.T) {
	for _, declared := range []bool{false, true} {
		deployment := newDeployment(t)
		machine := newAnsweringMachine(t, "fine")
		if declared {
			deployment.serveWarming(1, machine.address)
			deployment.digest(1, 0)
		} else {
			deployment.serve(v1.RouteRepeatable, 1, long, machine.address)
		}
		leader := deployment.answerPermits(granted)
		if answer := deployment.send(http.MethodGet, "/a/b", "1", ""); answer.status != http.StatusOK {
			t.Errorf("declared %v: the client got %d %s", declared, answer.status, answer.body)
		}
		if asked := leader.machines(); len(asked) > 0 {
			t.Errorf("declared %v: permits were requested for %v", declared, asked)
		}
	}
}

// TestRefusedPermitIsNoAttempt checks that a refused permit uses up neither attempts nor retries, and
// that other machines are tried before the first is tried again.
func TestRefusedPermitIsNoAttempt(t *testing.T) {
	deployment := newDeployment(t)
	first, second := newAnsweringMachine(t, "fine"), newAnsweringMachine(t, "fine")
	deployment.serveWarming(1, first.address, second.address)
	leader := deployment.answerPermits(func(number int, _ string) *wirepb.PermitReply {
		return &wirepb.PermitReply{Granted: number > 3, RetryAfterMs: 30}
	})
	answer := deployment.send(http.MethodGet, "/a/b", "1", "")
	if answer.status != http.StatusOK {
		t.Errorf("the client got %d %s", answer.status, answer.body)
	}
	asked := leader.machines()
	if len(asked) != 4 || asked[0] == asked[1] {
		t.Errorf("permits were requested for %v", asked)
	}
	if sent := len(first.requests()) + len(second.requests()); sent != 1 {
		t.Errorf("the request was sent %d times", sent)
	}
}

// TestExpiredPermitNotUsed checks that the router requests another permit if the first has expired
// when it arrives.
func TestExpiredPermitNotUsed(t *testing.T) {
	deployment := newDeployment(t)
	machine := newAnsweringMachine(t, "fine")
	deployment.serveWarming(1, machine.address)
	sentBefore := -1
	leader := deployment.answerPermits(func(number int, _ string) *wirepb.PermitReply {
		if number == 1 {
			deployment.suspended.Add(int64(permits.Lifetime))
		} else {
			sentBefore = len(machine.requests())
		}
		return &wirepb.PermitReply{Granted: true}
	})
	if answer := deployment.send(http.MethodGet, "/a/b", "1", ""); answer.status != http.StatusOK {
		t.Errorf("the client got %d %s", answer.status, answer.body)
	}
	if asked := leader.machines(); len(asked) != 2 || sentBefore != 0 || len(machine.requests()) != 1 {
		t.Errorf("permits were requested for %v; sent %d times before the second, %d in all", asked, sentBefore, len(machine.requests()))
	}
}

// TestRetryRequiresOwnPermit checks that a retry requests another permit.
func TestRetryRequiresOwnPermit(t *testing.T) {
	deployment := newDeployment(t)
	failing := func(_ receivedRequest, _ int, connection net.Conn) bool { return reset(connection) }
	first, second := newRawMachine(t, failing), newRawMachine(t, failing)
	deployment.serveWarming(2, first.address, second.address)
	leader := deployment.answerPermits(granted)
	deployment.send(http.MethodGet, "/a/b", "1", "")
	if asked := leader.machines(); len(asked) != 2 || len(first.requests()) != 1 || len(second.requests()) != 1 {
		t.Errorf("permits were requested for %v, sends %d and %d", asked, len(first.requests()), len(second.requests()))
	}
}

// TestFailedConnectionMarksMachineWarming checks that a machine counts as warming up after a failed
// connection, since it may have restarted.
func TestFailedConnectionMarksMachineWarming(t *testing.T) {
	deployment := newDeployment(t)
	machine := newAnsweringMachine(t, "fine")
	deployment.serveWarming(1, machine.address)
	deployment.digest(1, 0)
	machine.refuseConnections()
	answer := deployment.send(http.MethodGet, "/a/b", "1", "", headerWait, "100ms")
	if warm := deployment.handler.WarmingMachines(); !warm["m0"] {
		t.Errorf("the machine counts as warm; the client got %d %s", answer.status, answer.body)
	}
}

// TestUnsentAttemptsDoNotCountForRetryBudget checks that only attempts that were written add to the retry
// budget.
func TestUnsentAttemptsDoNotCountForRetryBudget(t *testing.T) {
	deployment := newDeploymentAt(t, places.Location{}, func(options *ingress.Options) {
		options.Budget = retrybudget.Config{Ratio: 1, Window: time.Hour}
	})
	failing := func(_ receivedRequest, _ int, connection net.Conn) bool { return reset(connection) }
	first, second := newRawMachine(t, failing), newRawMachine(t, failing)
	deployment.serveWarming(2, first.address, second.address)
	leader := deployment.answerPermits(func(number int, _ string) *wirepb.PermitReply {
		if number <= 2 {
			deployment.suspended.Add(int64(permits.Lifetime))
		}
		return &wirepb.PermitReply{Granted: true}
	})
	deployment.send(http.MethodGet, "/a/b", "1", "")
	if sent := len(first.requests()) + len(second.requests()); sent != 1 || len(leader.machines()) != 3 {
		t.Errorf("sent %d times, permits were requested for %v", sent, leader.machines())
	}
}

// TestRequestsForExpiringPermitsBounded checks that the number of permit requests is bounded
// if connecting to a machine takes longer than the lifetime of a permit.
func TestRequestsForExpiringPermitsBounded(t *testing.T) {
	deployment := newDeployment(t)
	machine := newAnsweringMachine(t, "fine")
	deployment.serveWarming(1, machine.address)
	leader := deployment.answerPermits(func(int, string) *wirepb.PermitReply {
		deployment.suspended.Add(int64(permits.Lifetime))
		return &wirepb.PermitReply{Granted: true}
	})
	answer := deployment.send(http.MethodGet, "/a/b", "1", "")
	if answer.status != http.StatusServiceUnavailable || !strings.Contains(answer.body, "not-run") {
		t.Errorf("the client got %d %s", answer.status, answer.body)
	}
	if asked := len(leader.machines()); asked > 4 || len(machine.requests()) > 0 {
		t.Errorf("%d permits were requested, the machine got %v", asked, machine.requests())
	}
}

// TestUnsentRequestKeepsMachineUnreachable checks that a request which is not sent doesn't clear
// the machine's unreachable state.
func TestUnsentRequestKeepsMachineUnreachable(t *testing.T) {
	deployment := newDeployment(t)
	machine := newAnsweringMachine(t, "fine")
	deployment.serveWarming(1, machine.address)
	machine.refuseConnections()
	before := time.Now()
	deployment.answerPermits(granted)
	deployment.send(http.MethodGet, "/a/b", "1", "", headerWait, "100ms")
	if found := deployment.handler.Unreachable(before); !slices.Equal(found, []string{"m0"}) {
		t.Fatalf("after a failed connection, unreachable: %v", found)
	}
	deployment.answerPermits(func(int, string) *wirepb.PermitReply {
		deployment.suspended.Add(int64(2 * long))
		return &wirepb.PermitReply{Granted: true}
	})
	deployment.send(http.MethodGet, "/a/b", "2", "")
	if found := deployment.handler.Unreachable(before); !slices.Equal(found, []string{"m0"}) {
		t.Errorf("after a request that was not sent, unreachable: %v", found)
	}
}

// TestSinglePermitRequestWithoutLeader checks that without a leader a request is not tried at one
// warming machine after the other.
func TestSinglePermitRequestWithoutLeader(t *testing.T) {
	lines := &syncBuffer{}
	deployment := newDeploymentWith(t, slog.New(slog.NewTextHandler(lines, nil)))
	var addresses []string
	for range 9 {
		addresses = append(addresses, newAnsweringMachine(t, "fine").address)
	}
	deployment.serveWarming(1, addresses...)
	// The log line of this drain shows that the router has applied all earlier events.
	deployment.apply(deployment.drain("elsewhere", true))
	for !strings.Contains(lines.String(), "drain_in_force") {
		time.Sleep(time.Millisecond)
	}
	// The timeout is shorter than the delay before the leader is asked again.
	answer := deployment.send(http.MethodGet, "/a/b", "1", "", headerWait, "50ms")
	if answer.status != http.StatusServiceUnavailable {
		t.Errorf("the client got %d %s", answer.status, answer.body)
	}
	if tries := strings.Count(lines.String(), "permit_refused"); tries != 1 {
		t.Errorf("%d machines were tried", tries)
	}
}

// TestWarmMachinesPreferred checks that a digest alone, without changed objects, makes the router
// prefer warm machines.
func TestWarmMachinesPreferred(t *testing.T) {
	deployment := newDeployment(t)
	var addresses []string
	for range 3 {
		addresses = append(addresses, newAnsweringMachine(t, "fine").address)
	}
	deployment.serveWarming(1, addresses...)
	const forLong = warming.UnitsUnknown - 1
	deployment.digest(1, 0, 0, 0)
	deployment.digest(2, forLong, 0, 0)
	// Digests are applied in order: once the third is applied, the second has taken effect.
	deployment.digest(3, forLong, forLong, 0)
	leader := deployment.answerPermits(granted)
	for range 12 {
		if answer := deployment.send(http.MethodGet, "/a/b", "1", ""); answer.status != http.StatusOK {
			t.Errorf("the client got %d %s", answer.status, answer.body)
		}
	}
	if asked := leader.machines(); slices.Contains(asked, "m0") {
		t.Errorf("permits were requested for %v", asked)
	}
}
