package keepalive

import (
	"math"
	"time"
)

const (
	// The histogram's edges grow by edgeGrowth from firstEdge: 1 s to a day.
	firstEdge   = time.Second
	edgeGrowth  = 1.5
	bucketCount = 29
	gapDecay    = 0.97
	// priorGaps is how many observed gaps weigh as much as no knowledge.
	priorGaps = 2.0
	// minimumGap separates uses; shorter ones are one use.
	minimumGap = time.Second
	// shortestIdle keeps the index of a replica that has just been used
	// finite.
	shortestIdle = time.Second
)

// Adaptive learns from each version's history; see the package documentation.
type Adaptive struct {
	histories map[string]*history
}

// NewAdaptive returns an Adaptive policy without any history.
func NewAdaptive() *Adaptive {
	return &Adaptive{histories: map[string]*history{}}
}

// history is what is remembered of one version.
type history struct {
	lastUsed time.Time
	gaps     gapHistogram
	daily    dailyRates
}

// Name implements Policy.
func (a *Adaptive) Name() string { return "adaptive" }

// RecordUse implements Policy.
func (a *Adaptive) RecordUse(version string, now time.Time) {
	held := a.histories[version]
	if held == nil {
		held = &history{lastUsed: now}
		held.daily.begin(now)
		held.daily.add(now)
		a.histories[version] = held
		return
	}
	gap := now.Sub(held.lastUsed)
	if gap < 0 {
		return
	}
	held.lastUsed = now
	if gap >= minimumGap {
		held.gaps.add(gap)
	}
	if gap >= sessionGap {
		held.daily.add(now)
	}
}

// Index implements Policy.
func (a *Adaptive) Index(subject VersionProfile, idle time.Duration, now time.Time) float64 {
	idle = max(idle, shortestIdle)
	unknown := subject.coldCost() / idle.Seconds()
	held := a.histories[subject.Version]
	if held == nil {
		return unknown
	}
	known := held.gaps.remaining(idle)
	byGaps := (known*held.gaps.index(subject.coldCost(), idle) + priorGaps*unknown) / (known + priorGaps)
	return max(byGaps, held.daily.rate(now)*subject.coldCost())
}

// PrewarmIndex implements Policy: what loading now would be worth is the rate of
// uses at the time when the load will be done.
func (a *Adaptive) PrewarmIndex(subject VersionProfile, now time.Time) float64 {
	held := a.histories[subject.Version]
	if held == nil {
		return 0
	}
	return held.daily.rate(now.Add(subject.LoadTime)) * subject.coldCost()
}

// gapHistogram counts the gaps between uses in geometric buckets and forgets
// old ones.
type gapHistogram struct {
	counts [bucketCount + 1]float64
	// sums holds the seconds of the gaps in each bucket, for their mean.
	sums [bucketCount + 1]float64
}

func bucketOf(gap time.Duration) int {
	if gap <= firstEdge {
		return 0
	}
	position := int(math.Ceil(math.Log(gap.Seconds()/firstEdge.Seconds()) / math.Log(edgeGrowth)))
	return min(position, bucketCount)
}

// edges holds the upper edge of each bucket, in seconds.
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

// remaining is how many of the remembered gaps were longer than the idle time.
func (h *gapHistogram) remaining(idle time.Duration) float64 {
	total := 0.0
	for bucket, count := range h.counts {
		total += count * longerShare(bucket, idle.Seconds())
	}
	return total
}

// longerShare is the share of a bucket's gaps that are longer than a time, if
// they lie evenly between its edges.
func longerShare(bucket int, seconds float64) float64 {
	upper, lower := edges[bucket], 0.0
	if bucket > 0 {
		lower = edges[bucket-1]
	}
	return min(1, max(0, (upper-seconds)/(upper-lower)))
}

// index returns the largest ratio, over all horizons, of the cold start saved
// to the time idled until then: for gaps longer than the time idled so far,
// P(gap <= horizon) * cold / E[min(gap, horizon) - idle].
func (h *gapHistogram) index(coldCost float64, idle time.Duration) float64 {
	elapsed := idle.Seconds()
	total := h.remaining(idle)
	best, ended, waited := 0.0, 0.0, 0.0
	for bucket := bucketOf(idle); bucket <= bucketCount; bucket++ {
		count := h.counts[bucket] * longerShare(bucket, elapsed)
		if count == 0 {
			continue
		}
		middle := h.sums[bucket] / h.counts[bucket]
		if middle <= elapsed {
			middle = (elapsed + edges[bucket]) / 2
		}
		ended += count
		waited += count * (middle - elapsed)
		horizon := max(edges[bucket]-elapsed, 0)
		expected := waited + (total-ended)*horizon
		if expected > 0 {
			best = max(best, ended*coldCost/expected)
		}
	}
	return best
}
