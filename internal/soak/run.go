package soak

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/weldline/weldline/internal/fault"
)

// Machines disturbs the stand-ins for machines.
type Machines interface {
	// Crash ends a machine. Another one that warms up takes its place some time later.
	Crash(machine int)
	// Cool makes a machine warm up again.
	Cool(machine int)
	// Limit makes a machine name a limit, and returns what ends that.
	Limit(machine int) (end func())
	// Rest makes a machine reject requests with a rest, and returns what ends that.
	Rest(machine int) (end func())
	// Leave makes a machine say that it is leaving, and returns what ends its life.
	Leave(machine int) (end func())
	// Proxy stands before the machine that is there at present; nil while none is.
	Proxy(machine int) *Proxy
}

// Callers are those who send requests.
type Callers interface {
	// Burst lets many more of them come, for a while.
	Burst(ctx context.Context, span time.Duration)
	// CallerProxy stands between callers and a router.
	CallerProxy(router string) *Proxy
}

// Injector carries out a plan.
type Injector struct {
	Layout    Layout
	Processes Processes
	// Proxies stand before the control nodes, by name.
	Proxies  map[string]*Proxy
	Machines Machines
	Callers  Callers
	// Tell takes a line about each fault, for whoever watches.
	Tell func(text string)
}

// addedDelay is by how much a delayed link is slower each way: as a far region's, or a link that
// is nearly full.
const addedDelay = 150 * time.Millisecond

// Run carries out the faults at their times, and returns when the last is over or ctx ends; it
// leaves nothing frozen or cut. It returns the faults as they were carried out: on a busy machine they come late,
// and last until then.
func (i *Injector) Run(ctx context.Context, plan []Fault, started time.Time) []Fault {
	carriedOut := slices.Clone(plan)
	var running sync.WaitGroup
	defer running.Wait()
	for position, each := range plan {
		if !sleepUntil(ctx, started.Add(each.At)) {
			return carriedOut
		}
		i.Tell("fault: " + each.String())
		running.Go(func() {
			i.inject(ctx, each)
			carriedOut[position].For = max(each.For, time.Since(started)-each.At)
		})
	}
	return carriedOut
}

func sleepUntil(ctx context.Context, moment time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(moment)):
		return true
	}
}

// inject brings a fault about, and ends it when its time is over.
func (i *Injector) inject(ctx context.Context, each Fault) {
	switch each.Kind {
	case FaultRollControl:
		i.roll(ctx, i.Layout.Control)
	case FaultRollRouters:
		i.roll(ctx, i.Layout.Routers)
	case FaultBurst:
		i.Callers.Burst(ctx, each.For)
	default:
		defer i.begin(each)()
		sleepUntil(ctx, time.Now().Add(each.For))
	}
}

// begin brings about a fault that lasts until it is ended, and returns what ends it.
func (i *Injector) begin(each Fault) func() {
	switch each.Kind {
	case FaultKill:
		i.signal(each.Node, syscall.SIGKILL)
	case FaultStop:
		i.signal(each.Node, syscall.SIGTERM)
	case FaultUpgrade, FaultDowngrade:
		i.replaceBuild(each.Node, each.Kind == FaultDowngrade)
	case FaultKillAll:
		for _, node := range i.Layout.Control {
			i.signal(node, syscall.SIGKILL)
		}
	case FaultFreeze:
		i.signal(each.Node, syscall.SIGSTOP)
		return func() { i.signal(each.Node, syscall.SIGCONT) }
	case FaultLoseDisk:
		i.loseDisk(each.Node)
	case FaultCutZone:
		return i.cutOffZone(each.Zone)
	case FaultCrashMachine:
		i.Machines.Crash(each.Machine)
	case FaultCoolMachine:
		i.Machines.Cool(each.Machine)
	case FaultLimitMachine:
		return i.Machines.Limit(each.Machine)
	case FaultRestMachine:
		return i.Machines.Rest(each.Machine)
	case FaultLeaveMachine:
		return i.Machines.Leave(each.Machine)
	case FaultResetMachine, FaultSilenceMachine, FaultDelayMachine:
		return strikeIfThere(each.Kind, i.Machines.Proxy(each.Machine))
	case FaultResetCallers, FaultSilenceCallers, FaultDelayCallers:
		return strikeIfThere(each.Kind, i.Callers.CallerProxy(each.Node))
	default:
		return strike(each.Kind, i.Proxies[each.Node])
	}
	return nothing
}

// nothing ends a fault that is over at once.
func nothing() {}

// loseDisk ends a control node whose disk is lost.
func (i *Injector) loseDisk(node string) {
	if err := i.Processes.LoseDisk(node); err != nil {
		i.Tell("no effect: " + fault.Message(err))
		return
	}
	i.signal(node, syscall.SIGKILL)
}

// replaceBuild stops a node, which comes back as another build.
func (i *Injector) replaceBuild(node string, isFormer bool) {
	if err := i.Processes.SetBuild(node, isFormer); err != nil {
		i.Tell("no effect: " + fault.Message(err))
		return
	}
	i.signal(node, syscall.SIGTERM)
}

// cutOffZone cuts off the control nodes of a zone, and returns what heals that.
func (i *Injector) cutOffZone(zone int) func() {
	var heals []func()
	for _, node := range i.Layout.Zones[zone] {
		heals = append(heals, cutOff(i.Proxies[node]))
	}
	return func() {
		for _, heal := range heals {
			heal()
		}
	}
}

// cutOff cuts both ways, and returns what heals that.
func cutOff(proxy *Proxy) func() {
	proxy.Cut(To)
	proxy.Cut(From)
	return func() {
		proxy.Heal(To)
		proxy.Heal(From)
	}
}

// strikeIfThere is strike where there may be no proxy at present, as while a machine is down.
func strikeIfThere(kind FaultKind, proxy *Proxy) func() {
	if proxy == nil {
		return nothing
	}
	return strike(kind, proxy)
}

// strike strikes the links through a proxy, and returns what ends that.
func strike(kind FaultKind, proxy *Proxy) func() {
	switch kind {
	case FaultReset, FaultResetMachine, FaultResetCallers:
		proxy.Reset()
	case FaultSilenceTo:
		proxy.Silence(To)
	case FaultSilenceFrom, FaultSilenceMachine, FaultSilenceCallers:
		proxy.Silence(From)
	case FaultCutTo:
		proxy.Cut(To)
		return func() { proxy.Heal(To) }
	case FaultCutFrom:
		proxy.Cut(From)
		return func() { proxy.Heal(From) }
	case FaultDelay, FaultDelayMachine, FaultDelayCallers:
		proxy.AddDelay(addedDelay)
		return func() { proxy.AddDelay(-addedDelay) }
	}
	return nothing
}

// roll stops nodes one after the other.
func (i *Injector) roll(ctx context.Context, nodes []string) {
	for _, node := range nodes {
		i.signal(node, syscall.SIGTERM)
		if !sleepUntil(ctx, time.Now().Add(rollTime)) {
			return
		}
	}
}

// signal signals a node. One that has just ended and is not back yet can't be: that is no fault
// of the soak's.
func (i *Injector) signal(node string, signal syscall.Signal) {
	if err := i.Processes.Signal(node, signal); err != nil {
		i.Tell("no effect: " + signal.String() + " to " + node + ": " + fault.Message(err))
	}
}
