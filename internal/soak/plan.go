package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
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
	// FaultCutTo and FaultCutFrom let nothing through between a control node and everybody else, one way, on
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
	// FaultResetMachine, FaultSilenceMachine and FaultDelayMachine strike the links to a machine.
	// A silent one says nothing any more on connections that stand.
	FaultResetMachine   FaultKind = "reset-machine"
	FaultSilenceMachine FaultKind = "silence-machine"
	FaultDelayMachine   FaultKind = "delay-machine"
	// FaultResetCallers, FaultSilenceCallers and FaultDelayCallers strike what callers have open to
	// a router.
	FaultResetCallers   FaultKind = "reset-callers"
	FaultSilenceCallers FaultKind = "silence-callers"
	FaultDelayCallers   FaultKind = "delay-callers"
	// FaultCutZone cuts all links of a zone's control nodes, both ways.
	FaultCutZone FaultKind = "cut-zone"
	// FaultRollControl and FaultRollRouters stop all of them, one after the other, as an update does.
	FaultRollControl FaultKind = "roll-control"
	FaultRollRouters FaultKind = "roll-routers"
	// FaultLoseDisk ends a control node, which comes back with an empty data folder.
	FaultLoseDisk FaultKind = "lose-disk"
	// FaultBurst lets many more callers come for a while.
	FaultBurst FaultKind = "burst"
	// FaultUpgrade stops a process, which comes back as the present build, and FaultDowngrade as the
	// former one.
	FaultUpgrade   FaultKind = "upgrade"
	FaultDowngrade FaultKind = "downgrade"
	// FaultLimitMachine makes a machine name a limit in its answers for a while.
	FaultLimitMachine FaultKind = "limit-machine"
	// FaultRestMachine makes a machine reject requests with a rest for a while.
	FaultRestMachine FaultKind = "rest-machine"
	// FaultLeaveMachine makes a machine say in its answers that it is leaving, and end after a while.
	FaultLeaveMachine FaultKind = "leave-machine"
)

// Layout is what there is to be disturbed.
type Layout struct {
	Control, Routers []string
	// Zones lists the control nodes by zone.
	Zones    [][]string
	Machines int
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
	// Zone is the number of the zone that it strikes.
	Zone int `json:"zone,omitempty"`
}

// String tells the fault in reports.
func (f Fault) String() string {
	return fmt.Sprintf("%s %s %s for %s", f.At, f.Kind, f.target(), f.For)
}

func (f Fault) target() string {
	if f.Node != "" {
		return f.Node
	}
	return fmt.Sprintf("machine %d, zone %d", f.Machine, f.Zone)
}

// Disturbance is a span in which a fault keeps somebody from knowing what the others know.
type Disturbance struct {
	From, Till time.Duration
	// Node is whom it concerns; Control is set for a control node, from which routers may lack what
	// they are to know.
	Node    string
	Control bool
	// Requests is set where only requests are held up, those of a node or of all: nobody lacks
	// knowledge by that.
	Requests bool
}

const (
	// calmStart leaves the system time to form and to serve before the first fault.
	calmStart = 3 * time.Second
	// meanPause is between two faults; many overlap, since they last up to longestFault.
	meanPause     = 900 * time.Millisecond
	longestFault  = 4 * time.Second
	shortestFault = 200 * time.Millisecond
	// restartTime is what it takes until a process that ended is back: whoever supervises it has
	// to notice that first.
	restartTime = 2 * time.Second
	// stopTime is what one takes that is asked to end, and finishes what it has first.
	stopTime = 5 * time.Second
	// replaceTime is what it takes until a control node that lost its disk counts again, or another
	// in its place.
	replaceTime = 6 * time.Second
	// silentTime is for how long requests may meet a connection that fell silent: as long as callers
	// wait for an answer, twice, as a request may meet one silent connection after another.
	silentTime = 10 * time.Second
	// rollTime is between two stops of a series: a node that stops lets go of its requests first.
	rollTime = 1500 * time.Millisecond
	// mostDisksLost is how many disks are lost in one soak: what the deployment tolerates at once,
	// and nothing says from outside when the replicated log has replaced a node.
	mostDisksLost = 1
)

// kinds lists each kind as often as it is to come.
var kinds = []FaultKind{
	FaultKill, FaultKill, FaultStop, FaultFreeze, FaultFreeze, FaultKillAll,
	FaultSilenceTo, FaultSilenceFrom, FaultCutTo, FaultCutFrom, FaultReset, FaultDelay,
	FaultCrashMachine, FaultCrashMachine, FaultCoolMachine, FaultCoolMachine,
	FaultResetMachine, FaultSilenceMachine, FaultDelayMachine,
	FaultResetCallers, FaultSilenceCallers, FaultDelayCallers,
	FaultCutZone, FaultRollControl, FaultRollRouters, FaultLoseDisk, FaultBurst,
}

// limitTime is for how long a machine names a limit: a few of the windows in which its requests are
// counted. The first one comes within limitPause.
const (
	limitTime  = 9 * time.Second
	limitPause = 4 * time.Second
)

// NewPlanWithLimits is NewPlan with machines that name limits besides, one at a time. They have random
// numbers of their own, so that the other faults of a seed are what they are without them.
func NewPlanWithLimits(seed uint64, layout Layout, span time.Duration) []Fault {
	var limits []Fault
	random := rand.New(rand.NewPCG(seed, 1))
	for at := calmStart; ; at += limitTime {
		at += time.Duration(random.Int64N(int64(limitPause)))
		if at+limitTime+restartTime > span {
			break
		}
		limits = append(limits, Fault{Kind: FaultLimitMachine, At: at, For: limitTime, Machine: random.IntN(layout.Machines)})
	}
	return Together(NewPlan(seed, layout, span), limits)
}

// Rollout draws the replacement of a former build by the present one, node by node in any order: all but
// one, half of these back, and then all. While one node is of the former build every other may go back.
func Rollout(seed uint64, layout Layout, span time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 2))
	nodes := slices.Concat(layout.Control, layout.Routers)
	random.Shuffle(len(nodes), func(left, right int) { nodes[left], nodes[right] = nodes[right], nodes[left] })
	back := nodes[:(len(nodes)-1)/2]
	var plan []Fault
	add := func(kind FaultKind, nodes []string) {
		for _, node := range nodes {
			plan = append(plan, Fault{Kind: kind, Node: node})
		}
	}
	add(FaultUpgrade, nodes[:len(nodes)-1])
	add(FaultDowngrade, back)
	add(FaultUpgrade, nodes[len(nodes)-1:])
	add(FaultUpgrade, back)
	pause := (span - calmStart - stopTime) / time.Duration(len(plan))
	for position := range plan {
		plan[position].At = calmStart + pause*time.Duration(position)
	}
	return plan
}

// Together are the faults of several plans in the order of their times.
func Together(plans ...[]Fault) []Fault {
	all := slices.Concat(plans...)
	slices.SortStableFunc(all, func(left, right Fault) int { return cmp.Compare(left.At, right.At) })
	return all
}

// NewPlan draws the faults of a soak; all are over by the end of the span.
func NewPlan(seed uint64, layout Layout, span time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	var plan []Fault
	disksLost := 0
	for at := calmStart; ; {
		at += time.Duration(random.ExpFloat64() * float64(meanPause))
		drawn := drawFault(random, layout, at)
		if at+restartTime > span {
			return plan
		}
		if at+drawn.For+restartTime > span {
			continue // Too long; shorter ones still have time.
		}
		if drawn.Kind == FaultLoseDisk {
			if disksLost == mostDisksLost {
				continue
			}
			disksLost++
		}
		plan = append(plan, drawn)
	}
}

func drawFault(random *rand.Rand, layout Layout, at time.Duration) Fault {
	drawn := Fault{Kind: kinds[random.IntN(len(kinds))], At: at}
	span := shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault)))
	everybody := append(append([]string{}, layout.Control...), layout.Routers...)
	switch drawn.Kind {
	case FaultCrashMachine, FaultCoolMachine, FaultResetMachine, FaultSilenceMachine:
		drawn.Machine = random.IntN(layout.Machines)
	case FaultDelayMachine:
		drawn.Machine, drawn.For = random.IntN(layout.Machines), span
	case FaultResetCallers, FaultSilenceCallers:
		drawn.Node = layout.Routers[random.IntN(len(layout.Routers))]
	case FaultDelayCallers:
		drawn.Node, drawn.For = layout.Routers[random.IntN(len(layout.Routers))], span
	case FaultCutZone:
		drawn.Zone, drawn.For = random.IntN(len(layout.Zones)), span
	case FaultRollControl:
		drawn.For = rollTime * time.Duration(len(layout.Control))
	case FaultRollRouters:
		drawn.For = rollTime * time.Duration(len(layout.Routers))
	case FaultBurst:
		drawn.For = span
	case FaultKill, FaultStop:
		drawn.Node = everybody[random.IntN(len(everybody))]
	case FaultFreeze:
		drawn.Node, drawn.For = everybody[random.IntN(len(everybody))], span
	case FaultReset, FaultLoseDisk:
		drawn.Node = layout.Control[random.IntN(len(layout.Control))]
	case FaultKillAll:
	default:
		drawn.Node, drawn.For = layout.Control[random.IntN(len(layout.Control))], span
	}
	return drawn
}

// Disturbances returns whom the faults of a plan keep from knowing, or from being served, and for
// how long. What strikes a machine is felt by whoever has requests there.
func Disturbances(plan []Fault, layout Layout) []Disturbance {
	var spans []Disturbance
	for _, fault := range plan {
		spans = append(spans, fault.disturbances(layout)...)
	}
	return spans
}

func (f Fault) disturbances(layout Layout) []Disturbance {
	span := Disturbance{From: f.At, Till: f.At + f.For, Node: f.Node, Control: slices.Contains(layout.Control, f.Node)}
	switch f.Kind {
	case FaultCoolMachine, FaultLimitMachine, FaultRestMachine, FaultLeaveMachine, FaultBurst:
		return nil
	case FaultCrashMachine, FaultResetMachine, FaultDelayMachine:
		span.Till += restartTime
		span.Requests = true
	case FaultResetCallers, FaultDelayCallers:
		span.Requests = true
	case FaultSilenceMachine, FaultSilenceCallers:
		span.Till += silentTime
		span.Requests = true
	case FaultCutZone:
		return ofEach(span, layout.Zones[f.Zone])
	case FaultKillAll:
		span.Till += restartTime
		return ofEach(span, layout.Control)
	case FaultRollControl:
		return ofEach(rolled(span), layout.Control)
	case FaultRollRouters:
		return rollOf(span, layout.Routers)
	case FaultStop, FaultUpgrade, FaultDowngrade:
		span.Till += stopTime
	case FaultKill:
		span.Till += restartTime
	case FaultLoseDisk:
		span.Till += replaceTime
	}
	return []Disturbance{span}
}

// rolled is the span in which control nodes that stop one after the other are disturbed: it
// lasts until the last of them has stopped.
func rolled(span Disturbance) Disturbance {
	span.Till += stopTime
	return span
}

// ofEach returns the disturbance of each of some control nodes.
func ofEach(span Disturbance, nodes []string) []Disturbance {
	var spans []Disturbance
	for _, node := range nodes {
		span.Node, span.Control = node, true
		spans = append(spans, span)
	}
	return spans
}

// rollOf returns the disturbances of routers that stop one after the other.
func rollOf(whole Disturbance, nodes []string) []Disturbance {
	var spans []Disturbance
	for position, node := range nodes {
		from := whole.From + rollTime*time.Duration(position)
		spans = append(spans, Disturbance{From: from, Till: from + stopTime, Node: node})
	}
	return spans
}
