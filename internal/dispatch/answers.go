package dispatch

import (
	"maps"
	"math"
	"time"
)

// Error-rate outlier detection. A machine that fails some of its requests quickly looks idle and
// attracts more of them, while its connections and health checks stay good. Machines are therefore
// compared by error rate with the peers that serve the same version: errors that occur everywhere
// are not the fault of one machine.

const (
	// responseCountsMaxAge bounds how long the counts of a digest are used.
	responseCountsMaxAge = 3 * time.Second
	// minBaselineErrorRate is the lowest error rate taken as normal; with a baseline of zero, a
	// single error would already be significant.
	minBaselineErrorRate = 0.02
	// Log-likelihood ratios at which a machine starts to lose traffic, and at which its
	// share is reduced in full: odds against chance of about 7 and 50 to one.
	avoidanceStart = 2.0
	avoidanceFull  = 4.0
	// A machine's share of traffic follows its relative success rate to this power. With 4, one that
	// fails 40 in 100 gets an eighth.
	avoidanceExponent = 4
	// minTrafficShare is the share of its traffic that a failing machine keeps, so that its
	// recovery is noticed.
	minTrafficShare = 0.05
)

// ResponseCounts counts the responses of a machine.
type ResponseCounts struct {
	// Errors counts the responses, out of Total, that were failures of the machine or were
	// incomplete.
	Total, Errors float64
}

// countResponse records how a request ended on a machine. Refusals, failed connections and
// timeouts are not counted: they say nothing about the error rate, and moving the traffic of an
// overloaded machine would overload its peers.
func (s *Scheduler) countResponse(machine string, result Result) {
	counts := s.ownResponses[machine]
	switch result {
	case ResultOK:
		counts.Total++
	case ResultError, ResultFailed:
		counts.Total++
		counts.Errors++
	default:
		return
	}
	s.ownResponses[machine] = counts
}

// ResponseCounts returns the responses of each machine to this router since it started.
func (s *Scheduler) ResponseCounts() map[string]ResponseCounts {
	return maps.Clone(s.ownResponses)
}

// pruneResponseCounts drops the counts of machines without targets.
func (s *Scheduler) pruneResponseCounts() {
	listed := map[string]bool{}
	for _, candidate := range s.targets {
		listed[candidate.Machine] = true
	}
	maps.DeleteFunc(s.ownResponses, func(machine string, _ ResponseCounts) bool { return !listed[machine] })
}

// SetResponseCounts replaces the recent responses of machines to all routers.
func (s *Scheduler) SetResponseCounts(now time.Time, answers map[string]ResponseCounts) {
	s.fleetResponses, s.responsesAt = answers, now
}

// excludeFailing drops the targets of machines with a significantly higher error rate than their
// peers, each for a fraction of requests that follows from its error rate. If no target would be
// left, it returns all of them.
func (s *Scheduler) excludeFailing(now time.Time, request *Request, targets []*target) []*target {
	if len(s.fleetResponses) == 0 || len(targets) < 2 || now.Sub(s.responsesAt) > responseCountsMaxAge {
		return targets
	}
	total := ResponseCounts{}
	for _, candidate := range targets {
		total = total.plus(s.fleetResponses[candidate.Machine])
	}
	if total.Errors == 0 {
		return targets
	}
	kept := make([]*target, 0, len(targets))
	for _, candidate := range targets {
		own := s.fleetResponses[candidate.Machine]
		share := own.trafficShare(total.minus(own))
		if share >= 1 || uniform(s.config.Seed+request.ID, candidate.Machine) < share {
			kept = append(kept, candidate)
		}
	}
	if len(kept) == 0 {
		return targets
	}
	return kept
}

func (r ResponseCounts) plus(other ResponseCounts) ResponseCounts {
	return ResponseCounts{Total: r.Total + other.Total, Errors: r.Errors + other.Errors}
}

func (r ResponseCounts) minus(other ResponseCounts) ResponseCounts {
	return ResponseCounts{Total: r.Total - other.Total, Errors: r.Errors - other.Errors}
}

// trafficShare is the share of its traffic that a machine keeps, given the responses of its peers.
func (r ResponseCounts) trafficShare(peers ResponseCounts) float64 {
	baseline := minBaselineErrorRate
	if peers.Total > 0 {
		baseline = max(baseline, peers.Errors/peers.Total)
	}
	ratio := r.logLikelihoodRatio(baseline)
	if ratio <= avoidanceStart {
		return 1
	}
	errorRate := r.Errors / r.Total
	deservedShare := max(minTrafficShare, math.Pow((1-errorRate)/(1-baseline), avoidanceExponent))
	confidence := min(1, (ratio-avoidanceStart)/(avoidanceFull-avoidanceStart))
	return 1 - confidence*(1-deservedShare)
}

// logLikelihoodRatio compares the likelihood of the errors at the machine's own error rate with
// that at the baseline rate. It is 0 if the machine's rate is not above the baseline.
func (r ResponseCounts) logLikelihoodRatio(baseline float64) float64 {
	if r.Total <= 0 || baseline >= 1 {
		return 0
	}
	errorRate := min(1, r.Errors/r.Total)
	if errorRate <= baseline {
		return 0
	}
	ratio := r.Errors * math.Log(errorRate/baseline)
	if errorRate < 1 {
		ratio += (r.Total - r.Errors) * math.Log((1-errorRate)/(1-baseline))
	}
	return ratio
}
