package dispatch

import (
	"math"
	"slices"
	"time"
)

// Every router sees the same lagged work of machines, and if each took the machine that
// is least busy by it, all would take the same one until the next digest. So a router
// reckons with what the others have sent since: as much as itself, and, since they
// reason alike, to the machines that were least busy, until these are as busy as the
// next ones.

const (
	// rateMemory is the time over which a version's rate of work is averaged.
	rateMemory = 2 * time.Second
	// usualStaleness is how old lagged work is taken to be before two digests have
	// come.
	usualStaleness = 500 * time.Millisecond
	// longestStaleness bounds it: where no digests come, more is not known.
	longestStaleness = 2 * time.Second
	// stalenessGain is the weight of the newest interval between digests.
	stalenessGain = 0.25
)

// workRate is an averaged rate of work, in tokens per second.
type workRate struct {
	rate    float64
	updated time.Time
}

func (r *workRate) add(now time.Time, work float64) {
	r.rate = r.at(now) + work/rateMemory.Seconds()
	r.updated = now
}

func (r *workRate) at(now time.Time) float64 {
	return r.rate * math.Exp(-max(0, now.Sub(r.updated).Seconds())/rateMemory.Seconds())
}

// noteDigest learns how old the work of machines is by the interval between digests.
func (c *Scheduler) noteDigest(now time.Time) {
	if !c.digestAt.IsZero() {
		interval := min(longestStaleness, now.Sub(c.digestAt))
		c.staleness += time.Duration(stalenessGain * float64(interval-c.staleness))
	}
	c.digestAt = now
}

// machineWork is the work that is known of a target's machine.
func (c *Scheduler) machineWork(candidate *target) float64 {
	return c.work[candidate.Machine] + c.othersWork[candidate.Machine]
}

// levelOfOthers is the work up to which the other routers have filled the least busy
// targets since the work of machines was reported; 0 for a single router.
func (c *Scheduler) levelOfOthers(now time.Time, version *versionState, targets []*target) float64 {
	sent := float64(c.routers-1) * version.rate.at(now) * c.staleness.Seconds()
	if sent <= 0 || len(targets) < 2 {
		return 0
	}
	loads := make([]float64, 0, len(targets))
	for _, candidate := range targets {
		loads = append(loads, c.machineWork(candidate))
	}
	return fillLevel(loads, sent)
}

// fillLevel is how high the lowest loads come when an amount is poured over them.
func fillLevel(loads []float64, amount float64) float64 {
	slices.Sort(loads)
	for filled := 1; filled < len(loads); filled++ {
		step := (loads[filled] - loads[filled-1]) * float64(filled)
		if amount <= step {
			return loads[filled-1] + amount/float64(filled)
		}
		amount -= step
	}
	return loads[len(loads)-1] + amount/float64(len(loads))
}

// weightedRank orders machines for a key so that each comes first as often as its
// weight says: by the rendezvous hashing of weighted nodes.
func weightedRank(key uint64, machine string, weight float64) float64 {
	return -max(weight, math.SmallestNonzeroFloat32) / math.Log(uniform(key, machine))
}

// uniform is a number between 0 and 1 for a key and a machine, evenly spread over both.
func uniform(key uint64, machine string) float64 {
	// The upper 53 bits are as many as a float64 holds.
	const scale = 1 << 53
	return (float64(rank(key, machine)>>11) + 0.5) / scale
}
