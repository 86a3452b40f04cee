package soak

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/weldline/weldline/internal/fault"
)

// Machines injects faults into the simulated machines.
type Machines interface {
	// Crash terminates a machine. A new one replaces it later and warms up.
	Crash(machine int)
	// RestartWarmup makes a machine warm up again.
	RestartWarmup(machine int)
	// StateLimit makes a machine state a rate limit in its responses until end is called.
	StateLimit(machine int) (end func())
	// RejectRequests makes a machine reject requests with Retry-After until end is called.
	RejectRequests(machine int) (end func())
	// AnnounceLeaving makes a machine announce that it is leaving; end terminates it.
	AnnounceLeaving(machine int) (end func())
	// PartitionRouter cuts a router off from all machines until end is called.
	PartitionRouter(router string, kind PartitionKind) (end func())
	// BecomeBrittle makes the machines without engines brittle until end is called.
	BecomeBrittle() (end func())
	// CutStreams makes a machine end some of its streams within an event until end is called.
	CutStreams(machine int) (end func())
	// RejectFirstAttempts makes all machines reject the first attempt of each request until end is called.
	RejectFirstAttempts() (end func())
	// Proxy returns the proxy before a machine, or nil while the machine is down.
	Proxy(machine int) *Proxy
}

// Callers injects faults on the side of the clients.
type Callers interface {
	// Burst runs many additional callers for the given time.
	Burst(ctx context.Context, span time.Duration)
	// SendHarmfulPart sends requests that share a harmful part of their prompts, for the given time.
	SendHarmfulPart(ctx context.Context, span time.Duration)
	// Crowd sends requests on new connections, most of them to one router, for the given time.
	Crowd(ctx context.Context, router string, span time.Duration)
	// CallerProxy returns the proxy between callers and a router.
	CallerProxy(router string) *Proxy
}

// Injector executes a plan.
type Injector struct {
	Layout    Layout
	Processes Processes
	// Proxies are the proxies before control nodes, by node name.
	Proxies  map[string]*Proxy
	Machines Machines
	Callers  Callers
	Log      func(text string)
}

// addedDelay is the added one-way latency of a delayed connection, like that between distant regions.
const addedDelay = 150 * time.Millisecond

// Run injects the faults at their times and returns once all have ended or ctx is done. It reverts every
// fault that it has started. In the returned faults, the duration of a fault that started late includes the
// delay.
func (i *Injector) Run(ctx context.Context, plan []Fault, started time.Time) []Fault {
	executed := slices.Clone(plan)
	var running sync.WaitGroup
	defer running.Wait()
	for position, each := range plan {
		if !sleepUntil(ctx, started.Add(each.At)) {
			return executed
		}
		i.Log("fault: " + each.String())
		running.Go(func() {
			i.inject(ctx, each)
			executed[position].Duration = max(each.Duration, time.Since(started)-each.At)
		})
	}
	return executed
}

func sleepUntil(ctx context.Context, moment time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(moment)):
		return true
	}
}

// inject applies a fault and reverts it after its duration.
func (i *Injector) inject(ctx context.Context, each Fault) {
	switch each.Kind {
	case FaultRollControl:
		i.stopInTurn(ctx, i.Layout.Control)
	case FaultRollRouters:
		i.stopInTurn(ctx, i.Layout.Routers)
	case FaultBurst:
		i.Callers.Burst(ctx, each.Duration)
	case FaultCrowd:
		i.Callers.Crowd(ctx, each.Node, each.Duration)
	case FaultHarmfulPart:
		i.Callers.SendHarmfulPart(ctx, each.Duration)
	default:
		defer i.start(each)()
		sleepUntil(ctx, time.Now().Add(each.Duration))
	}
}

// start applies a fault and returns the function that reverts it.
func (i *Injector) start(each Fault) func() {
	switch each.Kind {
	case FaultKill:
		i.signal(each.Node, syscall.SIGKILL)
	case FaultStop:
		i.signal(each.Node, syscall.SIGTERM)
	case FaultUpgrade, FaultDowngrade:
		i.switchBuild(each.Node, each.Kind == FaultDowngrade)
	case FaultKillAll:
		for _, node := range i.Layout.Control {
			i.signal(node, syscall.SIGKILL)
		}
	case FaultFreeze:
		i.signal(each.Node, syscall.SIGSTOP)
		return func() { i.signal(each.Node, syscall.SIGCONT) }
	case FaultLoseDisk:
		i.killAndLoseDisk(each.Node)
	case FaultCutZone:
		return i.blockZone(each.Zone)
	case FaultCrashMachine:
		i.Machines.Crash(each.Machine)
	case FaultCoolMachine:
		i.Machines.RestartWarmup(each.Machine)
	case FaultLimitMachine:
		return i.Machines.StateLimit(each.Machine)
	case FaultRestMachine:
		return i.Machines.RejectRequests(each.Machine)
	case FaultLeaveMachine:
		return i.Machines.AnnounceLeaving(each.Machine)
	case FaultPartitionHangs:
		return i.Machines.PartitionRouter(each.Node, PartitionHangs)
	case FaultPartitionResets:
		return i.Machines.PartitionRouter(each.Node, PartitionResets)
	case FaultPartitionAccepts:
		return i.Machines.PartitionRouter(each.Node, PartitionAccepts)
	case FaultPartitionRefuses:
		return i.Machines.PartitionRouter(each.Node, PartitionRefuses)
	case FaultRejectFirst:
		return i.Machines.RejectFirstAttempts()
	case FaultBrittleMachines:
		return i.Machines.BecomeBrittle()
	case FaultCutStreams:
		return i.Machines.CutStreams(each.Machine)
	case FaultPauseMachine:
		if proxy := i.Machines.Proxy(each.Machine); proxy != nil {
			return blockBoth(proxy)
		}
	case FaultResetMachine, FaultSilenceMachine, FaultDelayMachine:
		return applyLinkFaultIfRunning(each.Kind, i.Machines.Proxy(each.Machine))
	case FaultResetCallers, FaultSilenceCallers, FaultDelayCallers:
		return applyLinkFaultIfRunning(each.Kind, i.Callers.CallerProxy(each.Node))
	default:
		return applyLinkFault(each.Kind, i.Proxies[each.Node])
	}
	return noop
}

// noop reverts a fault that needs no reverting.
func noop() {}

func (i *Injector) killAndLoseDisk(node string) {
	if err := i.Processes.MarkDiskLost(node); err != nil {
		i.Log("no effect: " + fault.Message(err))
		return
	}
	i.signal(node, syscall.SIGKILL)
}

// switchBuild stops a node, which its supervisor restarts with the given build.
func (i *Injector) switchBuild(node string, usePrevious bool) {
	if err := i.Processes.SetBuild(node, usePrevious); err != nil {
		i.Log("no effect: " + fault.Message(err))
		return
	}
	i.signal(node, syscall.SIGTERM)
}

// blockZone blocks all traffic of a zone's control nodes and returns the function that unblocks it.
func (i *Injector) blockZone(zone int) func() {
	var unblocks []func()
	for _, node := range i.Layout.Zones[zone] {
		unblocks = append(unblocks, blockBoth(i.Proxies[node]))
	}
	return func() {
		for _, unblock := range unblocks {
			unblock()
		}
	}
}

// blockBoth blocks both directions and returns the function that unblocks them.
func blockBoth(proxy *Proxy) func() {
	proxy.Block(ToServer)
	proxy.Block(FromServer)
	return func() {
		proxy.Unblock(ToServer)
		proxy.Unblock(FromServer)
	}
}

// applyLinkFaultIfRunning is applyLinkFault for a proxy that is nil while its server is down.
func applyLinkFaultIfRunning(kind FaultKind, proxy *Proxy) func() {
	if proxy == nil {
		return noop
	}
	return applyLinkFault(kind, proxy)
}

// applyLinkFault applies a fault to the connections of a proxy and returns the function that reverts it.
func applyLinkFault(kind FaultKind, proxy *Proxy) func() {
	switch kind {
	case FaultReset, FaultResetMachine, FaultResetCallers:
		proxy.Reset()
	case FaultSilenceTo:
		proxy.Silence(ToServer)
	case FaultSilenceFrom, FaultSilenceMachine, FaultSilenceCallers:
		proxy.Silence(FromServer)
	case FaultCutTo:
		proxy.Block(ToServer)
		return func() { proxy.Unblock(ToServer) }
	case FaultCutFrom:
		proxy.Block(FromServer)
		return func() { proxy.Unblock(FromServer) }
	case FaultDelay, FaultDelayMachine, FaultDelayCallers:
		proxy.AddDelay(addedDelay)
		return func() { proxy.AddDelay(-addedDelay) }
	}
	return noop
}

func (i *Injector) stopInTurn(ctx context.Context, nodes []string) {
	for _, node := range nodes {
		i.signal(node, syscall.SIGTERM)
		if !sleepUntil(ctx, time.Now().Add(rollInterval)) {
			return
		}
	}
}

// signal signals a node. It only logs a failure: the node may be between its exit and its restart.
func (i *Injector) signal(node string, signal syscall.Signal) {
	if err := i.Processes.Signal(node, signal); err != nil {
		i.Log("no effect: " + signal.String() + " to " + node + ": " + fault.Message(err))
	}
}
