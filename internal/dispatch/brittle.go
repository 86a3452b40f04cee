package dispatch

import (
	"maps"
	"time"
)

// A brittle machine fails if it has to reject more than a stated number of requests in a second, from
// all routers together. What has to be bounded is therefore not the requests but those that find no
// room. Each router keeps to its share of the machine's slots, and to its share of the rejections: a
// request counts as a possible rejection until the machine had time to reject it.

const (
	// rejectionTime is how long a machine takes at most to reject a request that finds no room.
	rejectionTime = 100 * time.Millisecond
	// rejectionWindow is the span for which machines state how many rejections they bear.
	rejectionWindow = time.Second
	// maxRejectionSpacing bounds the pause after a rejection by a machine that bears fewer than one per
	// router and second.
	maxRejectionSpacing = 5 * time.Second
	// idleShare is the share of its slots up to which a machine counts as having room for all routers.
	idleShare = 0.5
)

// exposure tracks this router's requests to one brittle machine.
type exposure struct {
	// pending are the times of requests that the machine may still reject, by request ID.
	pending map[uint64]time.Time
	// rejected are the times of the rejections within rejectionWindow.
	rejected []time.Time
	// last is the time of the last rejection.
	last time.Time
}

// expire drops what is too old to count.
func (e *exposure) expire(now time.Time) {
	maps.DeleteFunc(e.pending, func(_ uint64, sent time.Time) bool { return now.Sub(sent) >= rejectionTime })
	for len(e.rejected) > 0 && now.Sub(e.rejected[0]) >= rejectionWindow {
		e.rejected = e.rejected[1:]
	}
}

// SetBrittle replaces the numbers of rejections per second that machines bear. The map must not be
// modified afterwards.
func (s *Scheduler) SetBrittle(now time.Time, brittle map[string]float64) Outcome {
	var outcome Outcome
	s.brittle = brittle
	for machine := range s.exposures {
		if _, isBrittle := brittle[machine]; !isBrittle {
			delete(s.exposures, machine)
		}
	}
	s.dispatchAll(now, &outcome)
	return outcome
}

// bearsRequest reports whether a target that is brittle may get another request now.
func (s *Scheduler) bearsRequest(now time.Time, candidate *target) bool {
	limit, isBrittle := s.brittle[candidate.Machine]
	if !isBrittle {
		return true
	}
	return s.hasBrittleSlot(candidate) && s.mayRiskRejection(now, candidate.Machine, limit)
}

// hasBrittleSlot reports whether a request probably finds room. Beyond its share of the slots a router
// relies on lagged reports, as others do at the same time, so it leaves a margin.
func (s *Scheduler) hasBrittleSlot(candidate *target) bool {
	own := s.inFlightOn(candidate)
	total := own + s.othersLoad[candidate.Machine]
	share := max(1, candidate.MaxConcurrent/max(1, s.routers))
	if own < share {
		return total < candidate.MaxConcurrent
	}
	return float64(total) < idleShare*float64(candidate.MaxConcurrent)
}

// mayRiskRejection reports whether one more rejection would keep within this router's share.
func (s *Scheduler) mayRiskRejection(now time.Time, machine string, limit float64) bool {
	current := s.exposures[machine]
	if current == nil {
		return true
	}
	current.expire(now)
	share := limit / float64(max(1, s.routers))
	if share < 1 && !current.last.IsZero() && now.Sub(current.last) < rejectionSpacing(share) {
		return false
	}
	return len(current.rejected)+len(current.pending) < max(1, int(share))
}

// rejectionSpacing returns the least time between two rejections, for a share of less than one a second.
func rejectionSpacing(share float64) time.Duration {
	if share <= rejectionWindow.Seconds()/maxRejectionSpacing.Seconds() {
		return maxRejectionSpacing
	}
	return time.Duration(float64(rejectionWindow) / share)
}

// exposeBrittle records a request that is granted a brittle machine.
func (s *Scheduler) exposeBrittle(now time.Time, machine string, request *Request) {
	if _, isBrittle := s.brittle[machine]; !isBrittle {
		return
	}
	if s.exposures[machine] == nil {
		s.exposures[machine] = &exposure{pending: map[uint64]time.Time{}}
	}
	s.exposures[machine].pending[request.ID] = now
}

// acceptBrittle records that a machine will not reject a request any more, or has done so.
func (s *Scheduler) acceptBrittle(machine string, request *Request) {
	if current := s.exposures[machine]; current != nil {
		delete(current.pending, request.ID)
	}
}

func (s *Scheduler) countRejection(now time.Time, machine string) {
	if current := s.exposures[machine]; current != nil {
		current.rejected = append(current.rejected, now)
		current.last = now
	}
}
