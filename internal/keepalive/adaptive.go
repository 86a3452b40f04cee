package keepalive

import (
	"math"
	"time"
)

const (
	// Bucket edges grow by edgeGrowth from firstEdge, up to about a day.
	firstEdge   = time.Second
	edgeGrowth  = 1.5
	bucketCount = 29
	gapDecay    = 0.97
	// priorGaps is the weight of the ski-rental prior, in observed gaps.
	priorGaps = 2.0
	// minGap is the shortest gap that separates two uses.
	minGap = time.Second
	// minIdle keeps the index of a replica that was just used finite.
	minIdle = time.Second
)

// Adaptive derives the index of a version from its history: the largest ratio, over all horizons,
// of expected cold starts saved to idle time (a Gittins index) from the gaps between uses, or the
// rate of use at the time of day on earlier days if that is higher. Without history it follows the
// ski-rental rule.
type Adaptive struct {
	histories map[string]*versionHistory
}

// NewAdaptive returns the policy without history, so that it follows the ski-rental rule at first.
func NewAdaptive() *Adaptive {
	return &Adaptive{histories: map[string]*versionHistory{}}
}

type versionHistory struct {
	lastUsed time.Time
	gaps     gapHistogram
	daily    dailyRates
}

// Name implements Policy.
func (a *Adaptive) Name() string { return "adaptive" }

// RecordUse implements Policy.
func (a *Adaptive) RecordUse(version string, now time.Time) {
	past := a.histories[version]
	if past == nil {
		past = &versionHistory{lastUsed: now}
		past.daily.begin(now)
		past.daily.add(now)
		a.histories[version] = past
		return
	}
	gap := now.Sub(past.lastUsed)
	if gap < 0 {
		return
	}
	past.lastUsed = now
	if gap >= minGap {
		past.gaps.add(gap)
	}
	if gap >= sessionGap {
		past.daily.add(now)
	}
}

// Index implements Policy.
func (a *Adaptive) Index(profile VersionProfile, idle time.Duration, now time.Time) float64 {
	idle = max(idle, minIdle)
	prior := profile.coldStartCost() / idle.Seconds()
	past := a.histories[profile.Version]
	if past == nil {
		return prior
	}
	weight := past.gaps.countLonger(idle)
	byGaps := (weight*past.gaps.index(profile.coldStartCost(), idle) + priorGaps*prior) / (weight + priorGaps)
	return max(byGaps, past.daily.rate(now)*profile.coldStartCost())
}

// PrewarmIndex implements Policy. The index is the expected rate of use at the time when the load
// would be done.
func (a *Adaptive) PrewarmIndex(profile VersionProfile, now time.Time) float64 {
	past := a.histories[profile.Version]
	if past == nil {
		return 0
	}
	return past.daily.rate(now.Add(profile.LoadTime)) * profile.coldStartCost()
}

// gapHistogram counts the gaps between uses in geometric buckets, with exponential decay.
type gapHistogram struct {
	counts [bucketCount + 1]float64
	// sums holds the total seconds of the gaps in each bucket.
	sums [bucketCount + 1]float64
}

func bucketOf(gap time.Duration) int {
	if gap <= firstEdge {
		return 0
	}
	position := int(math.Ceil(math.Log(gap.Seconds()/firstEdge.Seconds()) / math.Log(edgeGrowth)))
	return min(position, bucketCount)
}

// edges holds the upper edge of each bucket in seconds.
var edges = func() (edges [bucketCount + 1]float64) {
	for bucket := range edges {
		edges[bucket] = firstEdge.Seconds() * math.Pow(edgeGrowth, float64(bucket))
	}
	return edges
}()

func (h *gapHistogram) add(gap time.Duration) {
	for position := range h.counts {
		h.counts[position] *= gapDecay
		h.sums[position] *= gapDecay
	}
	bucket := bucketOf(gap)
	h.counts[bucket]++
	h.sums[bucket] += gap.Seconds()
}

// countLonger returns the weight of the gaps that are longer than the idle time.
func (h *gapHistogram) countLonger(idle time.Duration) float64 {
	total := 0.0
	for bucket, count := range h.counts {
		total += count * fractionLonger(bucket, idle.Seconds())
	}
	return total
}

// fractionLonger returns the fraction of the gaps of a bucket that are longer than the given time,
// if they are uniformly distributed in the bucket.
func fractionLonger(bucket int, seconds float64) float64 {
	upper, lower := edges[bucket], 0.0
	if bucket > 0 {
		lower = edges[bucket-1]
	}
	return min(1, max(0, (upper-seconds)/(upper-lower)))
}

// index returns the largest ratio, over all horizons, of the cold start cost saved to the further
// idle time, for gaps longer than the idle time so far: P(gap <= horizon) * cost / E[min(gap,
// horizon) - idle].
func (h *gapHistogram) index(cost float64, idle time.Duration) float64 {
	elapsed := idle.Seconds()
	total := h.countLonger(idle)
	best, ended, waited := 0.0, 0.0, 0.0
	for bucket := bucketOf(idle); bucket <= bucketCount; bucket++ {
		count := h.counts[bucket] * fractionLonger(bucket, elapsed)
		if count == 0 {
			continue
		}
		mean := h.sums[bucket] / h.counts[bucket]
		if mean <= elapsed {
			mean = (elapsed + edges[bucket]) / 2
		}
		ended += count
		waited += count * (mean - elapsed)
		horizon := max(edges[bucket]-elapsed, 0)
		expected := waited + (total-ended)*horizon
		if expected > 0 {
			best = max(best, ended*cost/expected)
		}
	}
	return best
}
