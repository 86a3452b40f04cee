package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind names a kind of fault in a plan.
type FaultKind string

// The kinds of faults.
const (
	// FaultKill sends SIGKILL to a process and FaultStop SIGTERM; its supervisor restarts it.
	FaultKill FaultKind = "kill"
	FaultStop FaultKind = "stop"
	// FaultFreeze suspends a process with SIGSTOP.
	FaultFreeze FaultKind = "freeze"
	// FaultKillAll sends SIGKILL to all control nodes at once.
	FaultKillAll FaultKind = "kill-all"
	// FaultSilenceTo and FaultSilenceFrom drop all traffic to or from a control node on existing connections;
	// new connections work.
	FaultSilenceTo   FaultKind = "silence-to"
	FaultSilenceFrom FaultKind = "silence-from"
	// FaultCutTo and FaultCutFrom block all traffic to or from a control node, on new connections too.
	FaultCutTo   FaultKind = "cut-to"
	FaultCutFrom FaultKind = "cut-from"
	// FaultReset resets all connections to a control node.
	FaultReset FaultKind = "reset"
	// FaultDelay delays all traffic to and from a control node.
	FaultDelay FaultKind = "delay"
	// FaultCrashMachine terminates a machine; one with another id replaces it and warms up.
	FaultCrashMachine FaultKind = "crash-machine"
	// FaultCoolMachine makes a machine warm up again without a restart.
	FaultCoolMachine FaultKind = "cool-machine"
	// FaultResetMachine, FaultSilenceMachine and FaultDelayMachine affect the connections to a machine.
	// FaultSilenceMachine drops its responses on existing connections.
	FaultResetMachine   FaultKind = "reset-machine"
	FaultSilenceMachine FaultKind = "silence-machine"
	FaultDelayMachine   FaultKind = "delay-machine"
	// FaultResetCallers, FaultSilenceCallers and FaultDelayCallers affect the connections from callers to a
	// router.
	FaultResetCallers   FaultKind = "reset-callers"
	FaultSilenceCallers FaultKind = "silence-callers"
	FaultDelayCallers   FaultKind = "delay-callers"
	// FaultCutZone blocks all traffic to and from the control nodes of a zone.
	FaultCutZone FaultKind = "cut-zone"
	// FaultRollControl and FaultRollRouters restart all control nodes or routers, one after the other.
	FaultRollControl FaultKind = "roll-control"
	FaultRollRouters FaultKind = "roll-routers"
	// FaultLoseDisk kills a control node, which restarts with an empty data folder.
	FaultLoseDisk FaultKind = "lose-disk"
	// FaultBurst adds many callers for its duration.
	FaultBurst FaultKind = "burst"
	// FaultUpgrade restarts a process with the current build and FaultDowngrade with the previous one.
	FaultUpgrade   FaultKind = "upgrade"
	FaultDowngrade FaultKind = "downgrade"
	// FaultLimitMachine makes a machine state a rate limit in its responses.
	FaultLimitMachine FaultKind = "limit-machine"
	// FaultRestMachine makes a machine reject requests with Retry-After.
	FaultRestMachine FaultKind = "rest-machine"
	// FaultLeaveMachine makes a machine announce in its responses that it is leaving, and then terminate.
	FaultLeaveMachine FaultKind = "leave-machine"
	// FaultPartitionHangs and FaultPartitionResets cut a router off from all machines.
	FaultPartitionHangs  FaultKind = "partition-hangs"
	FaultPartitionResets FaultKind = "partition-resets"
	// FaultPartitionAccepts is like FaultPartitionHangs, and new connections are accepted and carry nothing.
	// FaultPartitionRefuses refuses new connections; open ones go on.
	FaultPartitionAccepts FaultKind = "partition-accepts"
	FaultPartitionRefuses FaultKind = "partition-refuses"
	// FaultPauseMachine holds back all traffic of a machine; no connection breaks.
	FaultPauseMachine FaultKind = "pause-machine"
	// FaultBrittleMachines makes the machines without engines fail if they reject too many requests.
	FaultBrittleMachines FaultKind = "brittle-machines"
	// FaultCutStreams makes a machine end some of its streams within an event.
	FaultCutStreams FaultKind = "cut-streams"
	// FaultHarmfulPart makes callers send requests that share a part of their prompts which crashes the machines
	// with engines that begin to answer them.
	FaultHarmfulPart FaultKind = "harmful-part"
	// FaultCrowd sends most new connections to one router, at a higher rate than before.
	FaultCrowd FaultKind = "crowd"
	// FaultRejectFirst makes all machines reject the first attempt of each request.
	FaultRejectFirst FaultKind = "reject-first"
)

// Layout lists the processes and machines of a deployment.
type Layout struct {
	Control, Routers []string
	// Zones lists the control nodes by zone, and RouterZones the routers.
	Zones       [][]string
	RouterZones [][]string
	Machines    int
}

// Fault is a fault of a plan, or one that was executed. Its times are relative to the start of the plan.
type Fault struct {
	Kind FaultKind     `json:"kind"`
	At   time.Duration `json:"at"`
	// Duration is 0 for faults without an extent in time.
	Duration time.Duration `json:"for"`
	// Node is the affected process, Machine and Zone are indexes.
	Node    string `json:"node,omitempty"`
	Machine int    `json:"machine,omitempty"`
	Zone    int    `json:"zone,omitempty"`
}

// String implements fmt.Stringer.
func (f Fault) String() string {
	return fmt.Sprintf("%s %s %s for %s", f.At, f.Kind, f.target(), f.Duration)
}

func (f Fault) target() string {
	if f.Node != "" {
		return f.Node
	}
	return fmt.Sprintf("machine %d, zone %d", f.Machine, f.Zone)
}

// Disturbance is an interval in which a fault may leave a node with stale state or fail its requests.
type Disturbance struct {
	Start, End time.Duration
	// Node is empty for a disturbance of requests through any router.
	Node      string
	IsControl bool
	// RequestsOnly is set if requests may fail while the node's state stays current.
	RequestsOnly bool
	// Partition is set if the node is cut off from all machines, and Brittle if machines are brittle. Planned is set if no
	// response may be lost: a node is stopped, or machines reject requests.
	Partition, Brittle, Planned bool
	// Callers is set if the connections of callers to the node are affected.
	Callers bool
}

const (
	faultFreeStart    = 3 * time.Second
	meanFaultInterval = 900 * time.Millisecond // shorter than most faults, so that faults overlap
	maxFaultDuration  = 4 * time.Second
	minFaultDuration  = 200 * time.Millisecond
	// restartDuration includes the time until the supervisor notices the exit.
	restartDuration = 2 * time.Second
	// stopDuration includes the time to finish open requests.
	stopDuration = 5 * time.Second
	// replaceDuration runs until a control node that lost its disk, or its replacement, is a voter again.
	replaceDuration = 6 * time.Second
	// silentConnectionDuration is twice a caller's timeout: a request may use two silent connections in turn.
	silentConnectionDuration = 10 * time.Second
	// rollInterval leaves a stopping node time to finish open requests.
	rollInterval = 1500 * time.Millisecond
	// maxDisksLost limits the lost disks of a plan to the number that the deployment tolerates at once, since
	// nothing observes when a node has been replaced.
	maxDisksLost = 1
)

// weightedKinds lists each kind in proportion to its frequency.
var weightedKinds = []FaultKind{
	FaultKill, FaultKill, FaultStop, FaultFreeze, FaultFreeze, FaultKillAll,
	FaultSilenceTo, FaultSilenceFrom, FaultCutTo, FaultCutFrom, FaultReset, FaultDelay,
	FaultCrashMachine, FaultCrashMachine, FaultCoolMachine, FaultCoolMachine,
	FaultResetMachine, FaultSilenceMachine, FaultDelayMachine,
	FaultResetCallers, FaultSilenceCallers, FaultDelayCallers,
	FaultCutZone, FaultRollControl, FaultRollRouters, FaultLoseDisk, FaultBurst,
}

const (
	limitDuration = 9 * time.Second // longer than two limitWindows
	maxLimitPause = 4 * time.Second
)

// NewPlanWithLimits adds machines that state rate limits, one at a time, to the faults of NewPlan. Limits
// have a random source of their own, so that the other faults of a seed don't depend on them.
func NewPlanWithLimits(seed uint64, layout Layout, span time.Duration) []Fault {
	faults := faultSeries{random: rand.New(rand.NewPCG(seed, 1)), layout: layout, span: span}
	return MergePlans(NewPlan(seed, layout, span), faults.ofMachines(FaultLimitMachine, limitDuration, maxLimitPause))
}

// faultSeries draws faults that come one after the other.
type faultSeries struct {
	random *rand.Rand
	layout Layout
	span   time.Duration
}

// draw draws faults of one duration, with pauses between them, that all end within the span. choose sets the
// kind and the target of each.
func (s faultSeries) draw(duration, maxPause time.Duration, choose func(drawn *Fault)) (faults []Fault) {
	for at := faultFreeStart; ; at += duration {
		at += time.Duration(s.random.Int64N(int64(maxPause)))
		if at+duration+restartDuration > s.span {
			return faults
		}
		drawn := Fault{At: at, Duration: duration}
		choose(&drawn)
		faults = append(faults, drawn)
	}
}

// ofMachines draws faults of one kind at random machines.
func (s faultSeries) ofMachines(kind FaultKind, duration, maxPause time.Duration) []Fault {
	return s.draw(duration, maxPause, func(drawn *Fault) { drawn.Kind, drawn.Machine = kind, s.random.IntN(s.layout.Machines) })
}

// NewRolloutPlan draws a rollout of the current build, node by node in random order: it upgrades all nodes
// but one, downgrades half of these, and then upgrades all. A downgrade is safe only while a node still runs
// the previous build.
func NewRolloutPlan(seed uint64, layout Layout, span time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 2))
	nodes := slices.Concat(layout.Control, layout.Routers)
	random.Shuffle(len(nodes), func(left, right int) { nodes[left], nodes[right] = nodes[right], nodes[left] })
	downgraded := nodes[:(len(nodes)-1)/2]
	var plan []Fault
	add := func(kind FaultKind, nodes []string) {
		for _, node := range nodes {
			plan = append(plan, Fault{Kind: kind, Node: node})
		}
	}
	add(FaultUpgrade, nodes[:len(nodes)-1])
	add(FaultDowngrade, downgraded)
	add(FaultUpgrade, nodes[len(nodes)-1:])
	add(FaultUpgrade, downgraded)
	interval := (span - faultFreeStart - stopDuration) / time.Duration(len(plan))
	for position := range plan {
		plan[position].At = faultFreeStart + interval*time.Duration(position)
	}
	return plan
}

// MergePlans returns the faults of several plans in the order of their times.
func MergePlans(plans ...[]Fault) []Fault {
	all := slices.Concat(plans...)
	slices.SortStableFunc(all, func(left, right Fault) int { return cmp.Compare(left.At, right.At) })
	return all
}

// NewPlan draws the faults of a soak; all of them end within the span.
func NewPlan(seed uint64, layout Layout, span time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	var plan []Fault
	disksLost := 0
	for at := faultFreeStart; ; {
		at += time.Duration(random.ExpFloat64() * float64(meanFaultInterval))
		drawn := drawFault(random, layout, at)
		if at+restartDuration > span {
			return plan
		}
		if at+drawn.Duration+restartDuration > span {
			continue // A shorter fault may still fit.
		}
		if drawn.Kind == FaultLoseDisk {
			if disksLost == maxDisksLost {
				continue
			}
			disksLost++
		}
		plan = append(plan, drawn)
	}
}

func drawFault(random *rand.Rand, layout Layout, at time.Duration) Fault {
	drawn := Fault{Kind: weightedKinds[random.IntN(len(weightedKinds))], At: at}
	duration := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
	nodes := append(append([]string{}, layout.Control...), layout.Routers...)
	switch drawn.Kind {
	case FaultCrashMachine, FaultCoolMachine, FaultResetMachine, FaultSilenceMachine:
		drawn.Machine = random.IntN(layout.Machines)
	case FaultDelayMachine:
		drawn.Machine, drawn.Duration = random.IntN(layout.Machines), duration
	case FaultResetCallers, FaultSilenceCallers:
		drawn.Node = layout.Routers[random.IntN(len(layout.Routers))]
	case FaultDelayCallers:
		drawn.Node, drawn.Duration = layout.Routers[random.IntN(len(layout.Routers))], duration
	case FaultCutZone:
		drawn.Zone, drawn.Duration = random.IntN(len(layout.Zones)), duration
	case FaultRollControl:
		drawn.Duration = rollInterval * time.Duration(len(layout.Control))
	case FaultRollRouters:
		drawn.Duration = rollInterval * time.Duration(len(layout.Routers))
	case FaultBurst:
		drawn.Duration = duration
	case FaultKill, FaultStop:
		drawn.Node = nodes[random.IntN(len(nodes))]
	case FaultFreeze:
		drawn.Node, drawn.Duration = nodes[random.IntN(len(nodes))], duration
	case FaultReset, FaultLoseDisk:
		drawn.Node = layout.Control[random.IntN(len(layout.Control))]
	case FaultKillAll:
	default:
		drawn.Node, drawn.Duration = layout.Control[random.IntN(len(layout.Control))], duration
	}
	return drawn
}

// Disturbances returns the disturbances that the faults of a plan may cause. A fault of a machine may fail
// requests through any router.
func Disturbances(plan []Fault, layout Layout) []Disturbance {
	var disturbances []Disturbance
	for _, fault := range plan {
		disturbances = append(disturbances, fault.disturbances(layout)...)
	}
	return disturbances
}

func (f Fault) disturbances(layout Layout) []Disturbance {
	span := Disturbance{Start: f.At, End: f.At + f.Duration, Node: f.Node, IsControl: slices.Contains(layout.Control, f.Node)}
	switch f.Kind {
	case FaultCoolMachine, FaultLimitMachine, FaultRestMachine, FaultLeaveMachine, FaultCutStreams, FaultBurst, FaultHarmfulPart, FaultCrowd:
		return nil
	case FaultCrashMachine, FaultResetMachine, FaultDelayMachine:
		span.End += restartDuration
		span.RequestsOnly = true
	case FaultResetCallers, FaultDelayCallers:
		span.RequestsOnly, span.Callers = true, true
	case FaultSilenceMachine, FaultSilenceCallers:
		span.End += silentConnectionDuration
		span.RequestsOnly, span.Callers = true, f.Kind == FaultSilenceCallers
	case FaultPauseMachine:
		span.End += restartDuration
		span.RequestsOnly = true
	case FaultPartitionHangs, FaultPartitionResets, FaultPartitionAccepts, FaultPartitionRefuses:
		// unservedPartitions judges the requests during the partition.
		after := Disturbance{Start: span.End, End: span.End + restartDuration, Node: f.Node, RequestsOnly: true}
		span.RequestsOnly, span.Partition = true, true
		return []Disturbance{span, after}
	case FaultBrittleMachines:
		span.RequestsOnly, span.Brittle = true, true
		span.End += restartDuration
	case FaultCutZone:
		return perControlNode(span, layout.Zones[f.Zone])
	case FaultKillAll:
		span.End += restartDuration
		return perControlNode(span, layout.Control)
	case FaultRollControl:
		return perControlNode(controlRollSpan(span), layout.Control)
	case FaultRollRouters:
		return perRolledRouter(span, layout.Routers)
	case FaultStop, FaultUpgrade, FaultDowngrade:
		span.End += stopDuration
		span.Planned = true
	case FaultRejectFirst:
		span.RequestsOnly, span.Planned = true, true
	case FaultKill:
		span.End += restartDuration
	case FaultLoseDisk:
		span.End += replaceDuration
	}
	return []Disturbance{span}
}

// controlRollSpan extends the disturbance of a rolling restart until the last control node has stopped.
func controlRollSpan(roll Disturbance) Disturbance {
	roll.End += stopDuration
	roll.Planned = true
	return roll
}

// perControlNode returns a copy of a disturbance for each control node.
func perControlNode(disturbance Disturbance, nodes []string) []Disturbance {
	var disturbances []Disturbance
	for _, node := range nodes {
		disturbance.Node, disturbance.IsControl = node, true
		disturbances = append(disturbances, disturbance)
	}
	return disturbances
}

// perRolledRouter returns the disturbance of each router in a rolling restart.
func perRolledRouter(roll Disturbance, nodes []string) []Disturbance {
	var disturbances []Disturbance
	for position, node := range nodes {
		start := roll.Start + rollInterval*time.Duration(position)
		disturbances = append(disturbances, Disturbance{Start: start, End: start + stopDuration, Node: node, Planned: true})
	}
	return disturbances
}
