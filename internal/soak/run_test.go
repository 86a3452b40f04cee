package soak

import (
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// surroundings are machines and callers of which only the links count.
type surroundings struct {
	machine, callers *Proxy
}

func (s *surroundings) Crash(int) {}

func (s *surroundings) Cool(int) {}

func (s *surroundings) Limit(int) func() { return func() {} }

func (s *surroundings) Rest(int) func() { return func() {} }

func (s *surroundings) Leave(int) func() { return func() {} }

func (s *surroundings) Proxy(int) *Proxy { return s.machine }

func (s *surroundings) Burst(context.Context, time.Duration) {}

func (s *surroundings) CallerProxy(string) *Proxy { return s.callers }

// works reports whether what is sent comes back in the time in which nothing should.
func works(connection net.Conn) bool {
	_ = connection.SetDeadline(time.Now().Add(silentFor))
	defer func() { _ = connection.SetDeadline(time.Time{}) }()
	if _, err := io.WriteString(connection, "x"); err != nil {
		return false
	}
	_, err := io.ReadFull(connection, make([]byte, 1))
	return err == nil
}

// TestLateFaultsAreJudgedByWhenTheyCame: on a busy machine a reset came a millisecond late and cut a request that was
// sent after its planned time, which was held against the product.
func TestLateFaultsAreJudgedByWhenTheyCame(t *testing.T) {
	const late = 300 * time.Millisecond
	around := &surroundings{machine: newProxy(t), callers: newProxy(t)}
	injector := &Injector{Layout: Layout{Routers: []string{"r2"}}, Machines: around, Callers: around, Tell: func(string) {}}
	plan := []Fault{{Kind: FaultResetCallers, Node: "r2", At: 2 * time.Second}}
	history := kept()
	history.Answers[3] = Answer{Request: "plain", Outcome: OutcomeUnknown, At: 2*time.Second + late}
	history.Requests["plain"] = Request{ID: "plain", Router: "r2", Plain: true, Sent: 2*time.Second + late - time.Millisecond}
	judge := func(faults []Fault) int {
		return len(Judge(history, testBounds, append(Disturbances(faults, injector.Layout), explained...)))
	}
	if judge(plan) != 1 {
		t.Error("by its planned time the fault explains the request")
	}
	carriedOut := injector.Run(t.Context(), plan, time.Now().Add(-2*time.Second-late))
	if found := judge(carriedOut); found != 0 {
		t.Errorf("%d violations by %v", found, carriedOut)
	}
	if len(carriedOut) != 1 || carriedOut[0].At != plan[0].At || carriedOut[0].For < late || plan[0].For != 0 {
		t.Errorf("%v was carried out as %v", plan, carriedOut)
	}
}

// TestLinkFaults: each fault breaks the connections that stand on the links that it names, and
// no others; once it is over, new connections work everywhere.
func TestLinkFaults(t *testing.T) {
	around := &surroundings{machine: newProxy(t), callers: newProxy(t)}
	control := map[string]*Proxy{"c1": newProxy(t), "c2": newProxy(t)}
	links := map[string]*Proxy{"machine": around.machine, "r1": around.callers, "c1": control["c1"], "c2": control["c2"]}
	injector := &Injector{
		Layout:  Layout{Control: []string{"c1", "c2"}, Routers: []string{"r1"}, Zones: [][]string{{"c1"}, {"c2"}}, Machines: 1},
		Proxies: control, Machines: around, Callers: around, Tell: func(string) {},
	}
	for _, test := range []struct {
		fault  Fault
		broken string
	}{
		{Fault{Kind: FaultResetMachine}, "machine"},
		{Fault{Kind: FaultSilenceMachine}, "machine"},
		{Fault{Kind: FaultDelayMachine}, ""},
		{Fault{Kind: FaultResetCallers, Node: "r1"}, "r1"},
		{Fault{Kind: FaultSilenceCallers, Node: "r1"}, "r1"},
		{Fault{Kind: FaultDelayCallers, Node: "r1"}, ""},
		{Fault{Kind: FaultSilenceTo, Node: "c1"}, "c1"},
		{Fault{Kind: FaultReset, Node: "c2"}, "c2"},
		{Fault{Kind: FaultCutFrom, Node: "c1"}, ""},
		{Fault{Kind: FaultCutZone, Zone: 1}, ""},
	} {
		open := map[string]net.Conn{}
		for name, proxy := range links {
			open[name] = connect(t, proxy)
			send(t, open[name], "a")
			expect(t, open[name], "a")
		}
		injector.inject(t.Context(), test.fault)
		for name, proxy := range links {
			if name != test.broken {
				send(t, open[name], "b")
				expect(t, open[name], "b")
			} else if works(open[name]) {
				t.Errorf("%s: the open connection to %s works on", test.fault.Kind, name)
			}
			fresh := connect(t, proxy)
			send(t, fresh, "c")
			expect(t, fresh, "c")
		}
	}
}

// TestCutZoneWhileItLasts: nothing passes to or from the zone's control nodes, and all else does.
func TestCutZoneWhileItLasts(t *testing.T) {
	inside, outside := newProxy(t), newProxy(t)
	held, free := connect(t, inside), connect(t, outside)
	heal := cutOff(inside)
	send(t, held, "a")
	expectNothing(t, held)
	send(t, free, "b")
	expect(t, free, "b")
	heal()
	expect(t, held, "a")
}

// TestLostDisk: the mark is what whoever starts the node looks for.
func TestLostDisk(t *testing.T) {
	processes := Processes{Folder: t.TempDir()}
	if err := processes.LoseDisk("c1"); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(filepath.Join(processes.Folder, "lose-c1")); err != nil {
		t.Error(err)
	}
}

// TestBuildOfANode: the mark is there while the node is to run the former build.
func TestBuildOfANode(t *testing.T) {
	processes := Processes{Folder: t.TempDir()}
	mark := filepath.Join(processes.Folder, "former-c1")
	for _, isFormer := range []bool{false, true, true, false} {
		if err := processes.SetBuild("c1", isFormer); err != nil {
			t.Fatal(err)
		}
		if _, err := os.Stat(mark); (err == nil) != isFormer {
			t.Errorf("former %v: %v", isFormer, err)
		}
	}
}
