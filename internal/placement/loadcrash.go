package placement

import (
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// A model may crash each machine that starts to load it. Since its requests keep waiting, every
// lost machine would be followed by a load on the next one. From the second crash on, loads of the
// version are therefore delayed by an exponential backoff. Without it, one model crashed 60 machines in a
// minute; with it, 5.

const (
	// crashesBeforeBackoff tolerates a single crash, which may be unrelated to the load.
	crashesBeforeBackoff = 2
	// minCrashBackoff exceeds the time to detect a lost machine or a completed load. The backoff
	// doubles with each further crash, up to maxCrashBackoff.
	minCrashBackoff = 10 * time.Second
	maxCrashBackoff = 5 * time.Minute
)

// LoadCrashes are the machine crashes during loads of a version since its last successful load.
type LoadCrashes struct {
	Count int
	// Last is when the latest crash was recorded.
	Last time.Time
}

// retryAt returns when the version may be loaded again; the zero time if it is not delayed.
func (c LoadCrashes) retryAt() time.Time {
	if c.Count < crashesBeforeBackoff {
		return time.Time{}
	}
	backoff := minCrashBackoff
	for doubled := crashesBeforeBackoff; doubled < c.Count && backoff < maxCrashBackoff; doubled++ {
		backoff *= 2
	}
	return c.Last.Add(min(backoff, maxCrashBackoff))
}

// inCrashBackoff reports whether loads of a version are delayed. Machines that are lost while
// loading it count before their crash is confirmed.
func (p *pass) inCrashBackoff(name string) bool {
	crashes := p.input.LoadCrashes[name]
	if lost := p.lostLoads[name]; lost > 0 {
		crashes.Count += lost
		crashes.Last = p.input.Now
	}
	return p.input.Now.Before(crashes.retryAt())
}

// removeLost removes a replica whose machine is gone or whose engine has restarted. It counts as a
// crash during a load only if the engine had reported the load: a load may be decided before the
// end of the machine is known.
func (p *pass) removeLost(replica *Replica, reason string) Action {
	return Action{
		Kind: ActionRemove, Replica: replica, Reason: reason,
		CrashedDuringLoad: replica.Spec.Phase == v1.ReplicaLoading && p.planner.loadingReported[replica.Name],
	}
}
