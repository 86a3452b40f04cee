package dispatch

import (
	"slices"
	"sort"
	"time"
)

// Result is how a granted request ended, as far as the target is concerned.
type Result int

// The results of a granted request.
const (
	ResultOK Result = iota
	// ResultError: the engine answered with a failure of its own.
	ResultError
	// ResultNotRun: the engine said that the replica does not take requests.
	ResultNotRun
	// ResultRejected: the machine is overloaded and did not run the request.
	ResultRejected
	// ResultFailed: the engine failed or could not be reached.
	ResultFailed
	// ResultTimedOut: there was no whole answer in time. An engine with too much to do
	// is as silent as one that fails.
	ResultTimedOut
	// ResultUnreachable: no connection came about.
	ResultUnreachable
	// ResultNotSent: the router held the request back. It says nothing of the target.
	ResultNotSent
)

// notAccepted are the results of requests that their machine did not take.
var notAccepted = []Result{ResultNotRun, ResultRejected, ResultNotSent}

// Release ends a grant and grants its place to waiting requests.
func (c *Scheduler) Release(now time.Time, grant Grant, result Result) Outcome {
	var outcome Outcome
	version := c.version(grant.Target.Version)
	version.running--
	version.runAdapter(grant.Request.Adapter, -1)
	version.runBound(grant.Request, -1)
	c.leaveMachine(grant.Target.Machine)
	c.finishWork(grant.Target.Machine, grant.Request, 0)
	c.countAnswer(grant.Target.Machine, result)
	c.noteTrial(grant, !slices.Contains(notAccepted, result))
	held := c.targets[grant.Target.Replica]
	if held != nil {
		held.inFlight--
		held.health.observe(now, result)
		if held.retired && held.inFlight == 0 {
			c.forget(held)
		}
	}
	c.dispatch(now, version, &outcome, nil)
	return outcome
}

func (c *Scheduler) leaveMachine(machine string) {
	c.onMachine[machine]--
	if c.onMachine[machine] <= 0 {
		delete(c.onMachine, machine)
	}
}

// UnreachableMachines returns the machines that no connection came about to lately, by
// name.
func (c *Scheduler) UnreachableMachines(now time.Time) []string {
	var names []string
	for _, held := range c.targets {
		if now.Before(held.health.unreachableUntil) && !slices.Contains(names, held.Machine) {
			names = append(names, held.Machine)
		}
	}
	sort.Strings(names)
	return names
}
