package placement

import (
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// A model may end the machine that begins to load it. Its callers wait on, so that the next
// machine gets the load as soon as the last is known to be lost: one model ended 60 machines in
// a minute (TestLoadThatEndsMachinesIsPaused). One such crash may be chance; from the second on,
// the version waits before each further load, longer each time: 5 machines in that minute.

const (
	// crashesBeforePause is how many machines have to have ended under a version's loads.
	crashesBeforePause = 2
	// firstLoadPause is before the third load: several times what it takes to know that a
	// machine is gone, and to notice that one has loaded the version after all. Each further
	// pause is twice as long, up to longestLoadPause.
	firstLoadPause   = 10 * time.Second
	longestLoadPause = 5 * time.Minute
)

// LoadCrashes are the machines that ended while they loaded a version, since one last loaded it.
type LoadCrashes struct {
	Count int
	// Last is when the newest was recorded.
	Last time.Time
}

// resumesAt is when the version may be loaded again; the zero time for at once.
func (c LoadCrashes) resumesAt() time.Time {
	if c.Count < crashesBeforePause {
		return time.Time{}
	}
	pause := firstLoadPause
	for doubled := crashesBeforePause; doubled < c.Count && pause < longestLoadPause; doubled++ {
		pause *= 2
	}
	return c.Last.Add(min(pause, longestLoadPause))
}

// isPaused reports whether a version has to wait because of machines that ended under its
// loads. One that is lost while it loads counts before it is known to have ended.
func (p *pass) isPaused(name string) bool {
	crashes := p.input.LoadCrashes[name]
	if lost := p.lostLoads[name]; lost > 0 {
		crashes.Count += lost
		crashes.Last = p.input.Now
	}
	return p.input.Now.Before(crashes.resumesAt())
}

// removeEnded removes a replica whose machine is gone, or whose engine runs in a later life. It
// ended under the load only where its engine had reported that: a load may be decided before
// it is known that the machine has ended.
func (p *pass) removeEnded(replica *Replica, reason string) Action {
	return Action{
		Kind: ActionRemove, Replica: replica, Reason: reason,
		CrashedDuringLoad: replica.Spec.Phase == v1.ReplicaLoading && p.planner.loadsSeen[replica.Name],
	}
}
