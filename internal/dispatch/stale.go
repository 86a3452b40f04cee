package dispatch

import (
	"math"
	"slices"
	"time"
)

// All routers see the same lagged work of machines. If each selected the machine that is least
// busy by it, all would select the same one until the next digest. Each router therefore estimates
// what the others have sent since: as much as it sent itself, to the machines that were least
// busy, until these are as busy as the next ones.

const (
	// rateTimeConstant is the time constant of the averaged work rate of a version.
	rateTimeConstant = 2 * time.Second
	// initialStaleness is the assumed staleness before two digests have been received.
	initialStaleness = 500 * time.Millisecond
	// maxStaleness bounds the estimate when no digests arrive.
	maxStaleness = 2 * time.Second
	// stalenessGain is the weight of the newest digest interval in the average.
	stalenessGain = 0.25
)

// workRate is an exponentially decaying average, in tokens per second.
type workRate struct {
	rate    float64
	updated time.Time
}

func (r *workRate) add(now time.Time, work float64) {
	r.rate = r.at(now) + work/rateTimeConstant.Seconds()
	r.updated = now
}

func (r *workRate) at(now time.Time) float64 {
	return r.rate * math.Exp(-max(0, now.Sub(r.updated).Seconds())/rateTimeConstant.Seconds())
}

// updateStaleness averages the interval between digests.
func (s *Scheduler) updateStaleness(now time.Time) {
	if !s.digestAt.IsZero() {
		interval := min(maxStaleness, now.Sub(s.digestAt))
		s.staleness += time.Duration(stalenessGain * float64(interval-s.staleness))
	}
	s.digestAt = now
}

func (s *Scheduler) totalWork(candidate *target) float64 {
	return s.ownWork[candidate.Machine] + s.othersWork[candidate.Machine]
}

// fillLevelOfOthers is the estimated work up to which other routers have filled the least busy
// targets since the last report; 0 for a single router.
func (s *Scheduler) fillLevelOfOthers(now time.Time, version *versionState, targets []*target) float64 {
	sent := float64(s.routers-1) * version.rate.at(now) * s.staleness.Seconds()
	if sent <= 0 || len(targets) < 2 {
		return 0
	}
	loads := make([]float64, 0, len(targets))
	for _, candidate := range targets {
		loads = append(loads, s.totalWork(candidate))
	}
	return waterFill(loads, sent)
}

// waterFill returns the level that the lowest loads reach when an amount is distributed over them.
func waterFill(loads []float64, amount float64) float64 {
	slices.Sort(loads)
	for count := 1; count < len(loads); count++ {
		step := (loads[count] - loads[count-1]) * float64(count)
		if amount <= step {
			return loads[count-1] + amount/float64(count)
		}
		amount -= step
	}
	return loads[len(loads)-1] + amount/float64(len(loads))
}

// weightedRank ranks a machine for a key by weighted rendezvous hashing: each machine ranks first
// in proportion to its weight.
func weightedRank(key uint64, machine string, weight float64) float64 {
	return -max(weight, math.SmallestNonzeroFloat32) / math.Log(uniform(key, machine))
}

// uniform returns a uniformly distributed hash of a key and a machine, between 0 and 1.
func uniform(key uint64, machine string) float64 {
	// A float64 holds 53 bits.
	const scale = 1 << 53
	return (float64(rank(key, machine)>>11) + 0.5) / scale
}
