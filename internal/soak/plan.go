package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// FaultKind is what is done to a process, its links or a machine.
type FaultKind string

// The kinds of faults.
const (
	// FaultKill ends a process without a word, FaultStop asks it to end; whoever started it
	// starts it again.
	FaultKill FaultKind = "kill"
	FaultStop FaultKind = "stop"
	// FaultFreeze suspends a process by a signal for a while.
	FaultFreeze FaultKind = "freeze"
	// FaultKillAll ends all control nodes at the same moment.
	FaultKillAll FaultKind = "kill-all"
	// FaultSilenceTo and FaultSilenceFrom let nothing through to, or from, a control node on the
	// connections that stand; new ones work.
	FaultSilenceTo   FaultKind = "silence-to"
	FaultSilenceFrom FaultKind = "silence-from"
	// FaultCut lets nothing through between a control node and everybody else, one way, on
	// connections old and new.
	FaultCutTo   FaultKind = "cut-to"
	FaultCutFrom FaultKind = "cut-from"
	// FaultReset closes all connections to a control node.
	FaultReset FaultKind = "reset"
	// FaultDelay holds everything to and from a control node up.
	FaultDelay FaultKind = "delay"
	// FaultCrashMachine ends a machine; it comes back as another, and warms up.
	FaultCrashMachine FaultKind = "crash-machine"
	// FaultCoolMachine makes a machine warm up again, without a restart.
	FaultCoolMachine FaultKind = "cool-machine"
)

// Layout is what there is to be disturbed.
type Layout struct {
	Control, Routers []string
	Machines         int
}

// Fault is a disturbance from a time on.
type Fault struct {
	Kind FaultKind     `json:"kind"`
	At   time.Duration `json:"at"`
	// For is how long it lasts; 0 for those that happen at once.
	For time.Duration `json:"for"`
	// Node is the process, Machine the number of the machine that it strikes.
	Node    string `json:"node,omitempty"`
	Machine int    `json:"machine,omitempty"`
}

// String tells the fault in reports.
func (f Fault) String() string {
	return fmt.Sprintf("%s %s %s for %s", f.At, f.Kind, f.target(), f.For)
}

func (f Fault) target() string {
	if f.Node != "" {
		return f.Node
	}
	return fmt.Sprintf("machine %d", f.Machine)
}

// Disturbance is a span in which a fault keeps somebody from knowing what the others know.
type Disturbance struct {
	From, Till time.Duration
	// Node is whom it concerns; Everyone is set where routers may lack it as well.
	Node     string
	Everyone bool
}

const (
	// calmStart leaves the system time to form and to serve before the first fault.
	calmStart = 3 * time.Second
	// meanPause is between two faults; many overlap, since they last up to longestFault.
	meanPause     = 900 * time.Millisecond
	longestFault  = 4 * time.Second
	shortestFault = 200 * time.Millisecond
	// restartTime is what a process that ended takes to be back, and whoever supervises it.
	restartTime = 2 * time.Second
)

// kinds lists each kind as often as it is to come.
var kinds = []FaultKind{
	FaultKill, FaultKill, FaultStop, FaultFreeze, FaultFreeze, FaultKillAll,
	FaultSilenceTo, FaultSilenceFrom, FaultCutTo, FaultCutFrom, FaultReset, FaultDelay,
	FaultCrashMachine, FaultCrashMachine, FaultCoolMachine, FaultCoolMachine,
}

// NewPlan draws the faults of a soak; all are over by the end of the span.
func NewPlan(seed uint64, layout Layout, span time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	var plan []Fault
	for at := calmStart; ; {
		at += time.Duration(random.ExpFloat64() * float64(meanPause))
		drawn := drawFault(random, layout, at)
		if at+drawn.For+restartTime > span {
			return plan
		}
		plan = append(plan, drawn)
	}
}

func drawFault(random *rand.Rand, layout Layout, at time.Duration) Fault {
	drawn := Fault{Kind: kinds[random.IntN(len(kinds))], At: at}
	span := shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault)))
	everybody := append(append([]string{}, layout.Control...), layout.Routers...)
	switch drawn.Kind {
	case FaultCrashMachine, FaultCoolMachine:
		drawn.Machine = random.IntN(layout.Machines)
	case FaultKill, FaultStop:
		drawn.Node = everybody[random.IntN(len(everybody))]
	case FaultFreeze:
		drawn.Node, drawn.For = everybody[random.IntN(len(everybody))], span
	case FaultReset:
		drawn.Node = layout.Control[random.IntN(len(layout.Control))]
	case FaultKillAll:
	default:
		drawn.Node, drawn.For = layout.Control[random.IntN(len(layout.Control))], span
	}
	return drawn
}

// Disturbances returns whom the faults of a plan keep from knowing, and for how long. What
// strikes a control node may keep anybody from it; what strikes a machine concerns nobody.
func Disturbances(plan []Fault, layout Layout) []Disturbance {
	var spans []Disturbance
	for _, fault := range plan {
		span := Disturbance{From: fault.At, Till: fault.At + fault.For, Node: fault.Node}
		switch fault.Kind {
		case FaultCrashMachine, FaultCoolMachine:
			continue
		case FaultKill, FaultStop, FaultKillAll:
			span.Till += restartTime
		}
		span.Everyone = true
		for _, router := range layout.Routers {
			if router == fault.Node {
				span.Everyone = false
			}
		}
		spans = append(spans, span)
	}
	return spans
}
