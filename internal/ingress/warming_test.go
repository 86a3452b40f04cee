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

// leaderOfPermits answers for the leader and notes what it was asked.
type leaderOfPermits struct {
	mutex  sync.Mutex
	asked  []string
	answer func(number int, machine string) *wirepb.PermitReply
}

func (l *leaderOfPermits) permit(_ context.Context, request *wirepb.PermitRequest) (*wirepb.PermitReply, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.asked = append(l.asked, request.GetMachine())
	return l.answer(len(l.asked), request.GetMachine()), nil
}

func (l *leaderOfPermits) machines() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.asked)
}

func (d *deployment) askFor(answer func(number int, machine string) *wirepb.PermitReply) *leaderOfPermits {
	leader := &leaderOfPermits{answer: answer}
	permit := feed.PermitFunc(leader.permit)
	d.permit.Store(&permit)
	return leader
}

func granted(int, string) *wirepb.PermitReply { return &wirepb.PermitReply{Granted: true} }

// serveWarming is serve for a pool whose machines warm up.
func (d *deployment) serveWarming(attempts int, addresses ...string) {
	d.serve(v1.RouteRepeatable, attempts, long, addresses...)
	d.apply(d.object(v1.KindPool, "pool", &v1.PoolSpec{Warming: &v1.WarmingSpec{RequestsPerSecond: 5}}, nil))
}

// digest tells the router of its machines, and waits until it has taken that.
func (d *deployment) digest(sequence uint64, units ...byte) {
	digest := &wirepb.ClusterDigest{
		Term: 1, Sequence: sequence, Revision: d.revision, RosterSequence: 1, Roster: &wirepb.Roster{},
		MachineWarming: units,
	}
	for position := range units {
		digest.Roster.Machines = append(digest.Roster.Machines, "m"+string(rune('0'+position)))
	}
	d.view.TakeDigest(digest)
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

// TestWarmingMachineGetsNothingWithoutAPermit: a machine that is new to the router, whose drain has
// ended, that the leader takes to warm up, or that a connection to failed, gets a request only with
// a permit; the request is refused as not run, in time and with the reason.
func TestWarmingMachineGetsNothingWithoutAPermit(t *testing.T) {
	for _, test := range []struct {
		name   string
		before func(d *deployment)
	}{
		{"new", func(*deployment) {}},
		{"said to warm up", func(d *deployment) { d.digest(1, 200) }},
		{"nobody vouches for it", func(d *deployment) { d.digest(1, warming.UnitsUnknown) }},
		{"its drain has ended", func(d *deployment) {
			d.digest(1, 0)
			d.apply(d.object(v1.KindZoneDrain, "z", &v1.ZoneDrainSpec{}, nil))
		}},
		{"its record has changed", func(d *deployment) {
			d.digest(1, 0)
			machine, _ := d.view.Machine("m0")
			d.apply(d.object(v1.KindMachine, "m0", machine.Spec, &v1.MachineStatus{Phase: v1.MachineLive}))
		}},
		{"the router has slept", func(d *deployment) {
			d.digest(1, 0)
			d.handler.Resumed()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			deployment := newDeployment(t)
			machine := answering(t, "fine")
			deployment.serveWarming(3, machine.address)
			test.before(deployment)
			answer := deployment.ask(http.MethodGet, "/a/b", "1", "", headerWait, "300ms")
			if answer.status != http.StatusServiceUnavailable || !strings.Contains(answer.body, "warm up") || !strings.Contains(answer.body, "not-run") {
				t.Errorf("the caller got %d %s", answer.status, answer.body)
			}
			if answer.header.Get("Retry-After") == "" {
				t.Error("the caller does not hear when to come back")
			}
			if seen := machine.requests(); len(seen) > 0 {
				t.Errorf("the machine got %v", seen)
			}
			leader := deployment.askFor(granted)
			if answer := deployment.ask(http.MethodGet, "/a/b", "2", ""); answer.status != http.StatusOK {
				t.Errorf("with a permit the caller got %d %s", answer.status, answer.body)
			}
			if asked := leader.machines(); !slices.Equal(asked, []string{"m0"}) {
				t.Errorf("permits were asked for %v", asked)
			}
		})
	}
}

// TestWarmMachineNeedsNoPermit: once the leader vouches for it, and in pools that don't warm up.
func TestWarmMachineNeedsNoPermit(t *testing.T) {
	for _, declared := range []bool{false, true} {
		deployment := newDeployment(t)
		machine := answering(t, "fine")
		if declared {
			deployment.serveWarming(1, machine.address)
			deployment.digest(1, 0)
		} else {
			deployment.serve(v1.RouteRepeatable, 1, long, machine.address)
		}
		leader := deployment.askFor(granted)
		if answer := deployment.ask(http.MethodGet, "/a/b", "1", ""); answer.status != http.StatusOK {
			t.Errorf("declared %v: the caller got %d %s", declared, answer.status, answer.body)
		}
		if asked := leader.machines(); len(asked) > 0 {
			t.Errorf("declared %v: permits were asked for %v", declared, asked)
		}
	}
}

// TestRefusedPermitIsNoAttempt: a request whose machine may get no more goes to another, or waits
// for as long as the leader said, and has its attempts and retries left.
func TestRefusedPermitIsNoAttempt(t *testing.T) {
	deployment := newDeployment(t)
	first, second := answering(t, "fine"), answering(t, "fine")
	deployment.serveWarming(1, first.address, second.address)
	leader := deployment.askFor(func(number int, _ string) *wirepb.PermitReply {
		return &wirepb.PermitReply{Granted: number > 3, RetryAfterMs: 30}
	})
	answer := deployment.ask(http.MethodGet, "/a/b", "1", "")
	if answer.status != http.StatusOK {
		t.Errorf("the caller got %d %s", answer.status, answer.body)
	}
	asked := leader.machines()
	if len(asked) != 4 || asked[0] == asked[1] {
		t.Errorf("permits were asked for %v", asked)
	}
	if sent := len(first.requests()) + len(second.requests()); sent != 1 {
		t.Errorf("the request was sent %d times", sent)
	}
}

// TestLatePermitIsNotUsed: the permit was over when its answer came; the machine may have got others
// on its account since. The request asks again.
func TestLatePermitIsNotUsed(t *testing.T) {
	deployment := newDeployment(t)
	machine := answering(t, "fine")
	deployment.serveWarming(1, machine.address)
	sentBefore := -1
	leader := deployment.askFor(func(number int, _ string) *wirepb.PermitReply {
		if number == 1 {
			deployment.slept.Add(int64(permits.Lifetime))
		} else {
			sentBefore = len(machine.requests())
		}
		return &wirepb.PermitReply{Granted: true}
	})
	if answer := deployment.ask(http.MethodGet, "/a/b", "1", ""); answer.status != http.StatusOK {
		t.Errorf("the caller got %d %s", answer.status, answer.body)
	}
	if asked := leader.machines(); len(asked) != 2 || sentBefore != 0 || len(machine.requests()) != 1 {
		t.Errorf("permits were asked for %v; sent %d times before the second, %d in all", asked, sentBefore, len(machine.requests()))
	}
}

// TestEachSendNeedsAPermitOfItsOwn: a repeated request asks again.
func TestEachSendNeedsAPermitOfItsOwn(t *testing.T) {
	deployment := newDeployment(t)
	failing := func(_ seenRequest, _ int, connection net.Conn) bool { return reset(connection) }
	first, second := newRawMachine(t, failing), newRawMachine(t, failing)
	deployment.serveWarming(2, first.address, second.address)
	leader := deployment.askFor(granted)
	deployment.ask(http.MethodGet, "/a/b", "1", "")
	if asked := leader.machines(); len(asked) != 2 || len(first.requests()) != 1 || len(second.requests()) != 1 {
		t.Errorf("permits were asked for %v, sends %d and %d", asked, len(first.requests()), len(second.requests()))
	}
}

// TestFailedConnectionPutsAMachineInDoubt: it may have ended, and be back before the leader hears
// of that.
func TestFailedConnectionPutsAMachineInDoubt(t *testing.T) {
	deployment := newDeployment(t)
	machine := answering(t, "fine")
	deployment.serveWarming(1, machine.address)
	deployment.digest(1, 0)
	machine.end()
	deployment.ask(http.MethodGet, "/a/b", "1", "", headerWait, "100ms")
	if warm := deployment.handler.WarmingMachines(); !warm["m0"] {
		t.Error("the machine is taken to be warm")
	}
}

// TestUnsentRequestEarnsNoRetries: retries are a share of the requests that were sent. One that was
// tried three times, and sent once, counts once.
func TestUnsentRequestEarnsNoRetries(t *testing.T) {
	deployment := newDeploymentAt(t, places.Location{}, func(options *ingress.Options) {
		options.Budget = retrybudget.Config{Ratio: 1, Window: time.Hour}
	})
	failing := func(_ seenRequest, _ int, connection net.Conn) bool { return reset(connection) }
	first, second := newRawMachine(t, failing), newRawMachine(t, failing)
	deployment.serveWarming(2, first.address, second.address)
	leader := deployment.askFor(func(number int, _ string) *wirepb.PermitReply {
		if number <= 2 {
			deployment.slept.Add(int64(permits.Lifetime))
		}
		return &wirepb.PermitReply{Granted: true}
	})
	deployment.ask(http.MethodGet, "/a/b", "1", "")
	if sent := len(first.requests()) + len(second.requests()); sent != 1 || len(leader.machines()) != 3 {
		t.Errorf("sent %d times, permits were asked for %v", sent, leader.machines())
	}
}

// TestPermitsThatEndTooEarlyAreNotAskedForEndlessly: where connecting to a machine takes longer than a
// permit lasts, the next permit ends as well, and so does what others could have sent with it.
func TestPermitsThatEndTooEarlyAreNotAskedForEndlessly(t *testing.T) {
	deployment := newDeployment(t)
	machine := answering(t, "fine")
	deployment.serveWarming(1, machine.address)
	leader := deployment.askFor(func(int, string) *wirepb.PermitReply {
		deployment.slept.Add(int64(permits.Lifetime))
		return &wirepb.PermitReply{Granted: true}
	})
	answer := deployment.ask(http.MethodGet, "/a/b", "1", "")
	if answer.status != http.StatusServiceUnavailable || !strings.Contains(answer.body, "not-run") {
		t.Errorf("the caller got %d %s", answer.status, answer.body)
	}
	if asked := len(leader.machines()); asked > 4 || len(machine.requests()) > 0 {
		t.Errorf("%d permits were asked for, the machine got %v", asked, machine.requests())
	}
}

// TestRequestThatIsNotSentSaysNothingOfItsMachine: its time was over when the permit came. The machine
// still counts as one that could not be connected to.
func TestRequestThatIsNotSentSaysNothingOfItsMachine(t *testing.T) {
	deployment := newDeployment(t)
	machine := answering(t, "fine")
	deployment.serveWarming(1, machine.address)
	machine.end()
	before := time.Now()
	deployment.askFor(granted)
	deployment.ask(http.MethodGet, "/a/b", "1", "", headerWait, "100ms")
	if found := deployment.handler.Unreachable(before); !slices.Equal(found, []string{"m0"}) {
		t.Fatalf("after a failed connection, %v can't be connected to", found)
	}
	deployment.askFor(func(int, string) *wirepb.PermitReply {
		deployment.slept.Add(int64(2 * long))
		return &wirepb.PermitReply{Granted: true}
	})
	deployment.ask(http.MethodGet, "/a/b", "2", "")
	if found := deployment.handler.Unreachable(before); !slices.Equal(found, []string{"m0"}) {
		t.Errorf("after a request that was not sent, %v can't be connected to", found)
	}
}

// TestRequestsDoNotGoRoundWithoutALeader: while the leader can't be asked, no machine that warms up is
// worth a try, however many there are.
func TestRequestsDoNotGoRoundWithoutALeader(t *testing.T) {
	lines := &lockedBuffer{}
	deployment := newDeploymentWith(t, slog.New(slog.NewTextHandler(lines, nil)))
	var addresses []string
	for range 9 {
		addresses = append(addresses, answering(t, "fine").address)
	}
	deployment.serveWarming(1, addresses...)
	// What is told of this order shows that the router acts by all that came before it.
	deployment.apply(deployment.drain("elsewhere", true))
	for !strings.Contains(lines.String(), "drain_in_force") {
		time.Sleep(time.Millisecond)
	}
	// It waits for less than until the leader is asked again.
	answer := deployment.ask(http.MethodGet, "/a/b", "1", "", headerWait, "50ms")
	if answer.status != http.StatusServiceUnavailable {
		t.Errorf("the caller got %d %s", answer.status, answer.body)
	}
	if tries := strings.Count(lines.String(), "permit_refused"); tries != 1 {
		t.Errorf("%d machines were tried", tries)
	}
}

// TestWarmMachinesComeFirst: the leader says that a machine warms up, and nothing else changes.
func TestWarmMachinesComeFirst(t *testing.T) {
	deployment := newDeployment(t)
	var addresses []string
	for range 3 {
		addresses = append(addresses, answering(t, "fine").address)
	}
	deployment.serveWarming(1, addresses...)
	const forLong = warming.UnitsUnknown - 1
	deployment.digest(1, 0, 0, 0)
	deployment.digest(2, forLong, 0, 0)
	// Digests are taken one by one: once this one is taken, requests go by the one before.
	deployment.digest(3, forLong, forLong, 0)
	leader := deployment.askFor(granted)
	for range 12 {
		if answer := deployment.ask(http.MethodGet, "/a/b", "1", ""); answer.status != http.StatusOK {
			t.Errorf("the caller got %d %s", answer.status, answer.body)
		}
	}
	if asked := leader.machines(); slices.Contains(asked, "m0") {
		t.Errorf("permits were asked for %v", asked)
	}
}
