package keepalive

import (
	"math"
	"time"
)

const (
	daySlots     = 96
	slotDuration = 24 * time.Hour / daySlots
	// slotDecay is the weight of a day relative to the following day.
	slotDecay = 0.7
	// priorDays is the weight of the prior, in days without use.
	priorDays = 0.5
	// sessionGap separates sessions. Uses within a session count only in the gap histogram.
	sessionGap = 2 * time.Minute
)

// kernel smooths the counts over neighboring slots.
var kernel = [...]float64{0.2, 0.6, 0.2}

// dailyRates counts the sessions of a version by time of day.
type dailyRates struct {
	firstDay int64
	slots    [daySlots]slotCount
}

// slotCount counts the sessions in a slot: those of the current day, and the decayed sum of earlier
// days.
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
		*slot = slotCount{past: slot.earlier(today), day: today}
	}
	slot.today++
}

// earlier returns the decayed count of the days before the given day.
func (s slotCount) earlier(day int64) float64 {
	if day == s.day {
		return s.past
	}
	return (s.past + s.today) * math.Pow(slotDecay, float64(day-s.day))
}

// rate returns the expected sessions per second at a time of day, from earlier days.
func (d *dailyRates) rate(now time.Time) float64 {
	today := dayOf(now)
	days := float64(today - d.firstDay)
	if days < 1 {
		return 0
	}
	// The total weight of the earlier days is a geometric series.
	weight := slotDecay * (1 - math.Pow(slotDecay, days)) / (1 - slotDecay)
	sessions := 0.0
	center := slotOf(now)
	for offset, share := range kernel {
		position := (center + offset - len(kernel)/2 + daySlots) % daySlots
		sessions += share * d.slots[position].earlier(today)
	}
	return sessions / (weight + priorDays) / slotDuration.Seconds()
}
