package keepalive

import (
	"math"
	"time"
)

const (
	daySlots     = 96
	slotDuration = 24 * time.Hour / daySlots
	// slotDecay is the weight of a day against the one after it.
	slotDecay = 0.7
	// priorDays is how many days of no use the estimate begins with.
	priorDays = 0.5
	// sessionGap separates visits: what follows sooner belongs to the visit
	// and is left to the gaps.
	sessionGap = 2 * time.Minute
)

// kernel smooths over neighbouring slots: people are not that punctual.
var kernel = [...]float64{0.2, 0.6, 0.2}

// dailyRates holds how often a version was visited at each time of day.
type dailyRates struct {
	firstDay int64
	slots    [daySlots]slotCount
}

// slotCount counts the visits in a part of the day, those of a day apart from
// the decayed ones of the days before.
type slotCount struct {
	past  float64
	today float64
	day   int64
}

func dayOf(now time.Time) int64 {
	return now.Unix() / int64((24 * time.Hour).Seconds())
}

func slotOf(now time.Time) int {
	return int(now.Unix() / int64(slotDuration.Seconds()) % daySlots)
}

func (d *dailyRates) begin(now time.Time) {
	d.firstDay = dayOf(now)
}

func (d *dailyRates) add(now time.Time) {
	slot := &d.slots[slotOf(now)]
	today := dayOf(now)
	if slot.day != today {
		*slot = slotCount{past: slot.before(today), day: today}
	}
	slot.today++
}

// before returns the visits of the days before one, the day before weighing
// slotDecay.
func (s slotCount) before(day int64) float64 {
	if day == s.day {
		return s.past
	}
	return (s.past + s.today) * math.Pow(slotDecay, float64(day-s.day))
}

// rate returns the expected visits a second at a time of day, by the days
// before.
func (d *dailyRates) rate(now time.Time) float64 {
	today := dayOf(now)
	days := float64(today - d.firstDay)
	if days < 1 {
		return 0
	}
	// The weights of the days before add up to a geometric sum.
	weight := slotDecay * (1 - math.Pow(slotDecay, days)) / (1 - slotDecay)
	visits := 0.0
	middle := slotOf(now)
	for offset, share := range kernel {
		position := (middle + offset - len(kernel)/2 + daySlots) % daySlots
		visits += share * d.slots[position].before(today)
	}
	return visits / (weight + priorDays) / slotDuration.Seconds()
}
