package keepalive

import (
	"math"
	"time"
)

const (
	// The histogram's edges grow by edgeGrowth from firstEdge: 1 s to a day.
	firstEdge    = time.Second
	edgeGrowth   = 1.5
	bucketCount  = 29
	gapDecay     = 0.97
	priorWeight  = 2.0
	minimumGap   = time.Second
	daySlots     = 96
	slotDuration = 24 * time.Hour / daySlots
	slotDecay    = 0.7
	// prewarmLead is how far ahead of an expected use a load begins, as a
	// multiple of the load time.
	prewarmLead = 2.0
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
	counts   [bucketCount + 1]float64
	// sums holds the seconds of the gaps in each bucket, for their mean.
	sums  [bucketCount + 1]float64
	total float64
	// slots is, for each part of the day, the decayed share of days with a
	// first use in it.
	slots    [daySlots]float64
	slotSeen [daySlots]int64
	firstDay int64
}

// Name implements Policy.
func (a *Adaptive) Name() string { return "adaptive" }

// Used implements Policy.
func (a *Adaptive) Used(version string, now time.Time) {
	held := a.histories[version]
	if held == nil {
		held = &history{lastUsed: now, firstDay: dayOf(now)}
		a.histories[version] = held
		held.markSlot(now)
		return
	}
	gap := now.Sub(held.lastUsed)
	if gap < 0 {
		return
	}
	held.lastUsed = now
	held.markSlot(now)
	if gap >= minimumGap {
		held.addGap(gap)
	}
}

func dayOf(now time.Time) int64 {
	return now.Unix() / int64((24 * time.Hour).Seconds())
}

func slotOf(now time.Time) int {
	return int(now.Unix() / int64(slotDuration.Seconds()) % daySlots)
}

// markSlot raises the share of a part of the day once a day.
func (h *history) markSlot(now time.Time) {
	slot, day := slotOf(now), dayOf(now)
	if h.slotSeen[slot] == day+1 {
		return
	}
	h.slots[slot] = h.share(slot, day)*slotDecay + (1 - slotDecay)
	h.slotSeen[slot] = day + 1
}

// share returns the decayed share of past days with a use in the slot.
func (h *history) share(slot int, day int64) float64 {
	if h.slotSeen[slot] == 0 {
		return 0
	}
	missed := day - h.slotSeen[slot]
	if missed <= 0 {
		return h.slots[slot]
	}
	return h.slots[slot] * math.Pow(slotDecay, float64(missed))
}

func bucketOf(gap time.Duration) int {
	if gap <= firstEdge {
		return 0
	}
	position := int(math.Ceil(math.Log(gap.Seconds()/firstEdge.Seconds()) / math.Log(edgeGrowth)))
	return min(position, bucketCount)
}

func edgeOf(bucket int) time.Duration {
	return time.Duration(firstEdge.Seconds() * math.Pow(edgeGrowth, float64(bucket)) * float64(time.Second))
}

func (h *history) addGap(gap time.Duration) {
	h.total *= gapDecay
	for position := range h.counts {
		h.counts[position] *= gapDecay
		h.sums[position] *= gapDecay
	}
	bucket := bucketOf(gap)
	h.counts[bucket]++
	h.sums[bucket] += gap.Seconds()
	h.total++
}

// Timeout implements Policy.
func (a *Adaptive) Timeout(subject Subject, _ time.Time) time.Duration {
	rent := subject.Rent()
	held := a.histories[subject.Version]
	if held == nil || held.total == 0 {
		return rent
	}
	best := held.bestTimeout(subject)
	share := held.total / (held.total + priorWeight)
	return time.Duration(share*float64(best) + (1-share)*float64(min(rent, edgeOf(bucketCount))))
}

// bestTimeout returns the bucket edge of least expected cost per gap. One
// pass suffices: the time idled by gaps shorter than an edge is summed up on
// the way, and the rest idle for the whole timeout.
func (h *history) bestTimeout(subject Subject) time.Duration {
	accelerators := float64(max(1, subject.Accelerators))
	coldCost := subject.ColdStartWeight * subject.LoadTime.Seconds()
	best := time.Duration(0)
	bestCost := h.total * coldCost // Unload at once: every gap ends cold.
	shorterSum, shorterCount := 0.0, 0.0
	for bucket := range bucketCount {
		shorterSum += h.sums[bucket]
		shorterCount += h.counts[bucket]
		longer := h.total - shorterCount
		edge := edgeOf(bucket)
		cost := (shorterSum+longer*edge.Seconds())*accelerators + longer*coldCost
		if cost < bestCost {
			best, bestCost = edge, cost
		}
	}
	return best
}

// Prewarm implements Policy: it loads ahead of a part of the day in which the
// version was used on most days, where a cold start is worth the idling until
// the middle of that part.
func (a *Adaptive) Prewarm(subject Subject, now time.Time) bool {
	held := a.histories[subject.Version]
	if held == nil || dayOf(now) == held.firstDay {
		return false
	}
	lead := time.Duration(prewarmLead * float64(subject.LoadTime))
	ahead := now.Add(lead)
	slot := slotOf(ahead)
	if held.slotSeen[slot] == dayOf(ahead)+1 {
		return false // Used in this part of the day already.
	}
	share := held.share(slot, dayOf(ahead))
	intoSlot := ahead.Sub(ahead.Truncate(slotDuration))
	expectedIdle := slotDuration/2 + lead
	gain := share * subject.ColdStartWeight * subject.LoadTime.Seconds()
	price := expectedIdle.Seconds() * float64(max(1, subject.Accelerators))
	return intoSlot < lead && gain > price
}
