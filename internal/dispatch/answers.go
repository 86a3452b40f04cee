package dispatch

import (
	"maps"
	"math"
	"time"
)

// A machine that fails part of its requests, quickly, looks idle and draws more of them;
// its connections and its health check are good. So a machine is judged by the share of
// its answers that are errors, beside those of the other machines that run the same: a
// version that fails one request in seven everywhere is not the fault of a machine.

const (
	// answersLifetime is how long a digest's counts are used; later ones say nothing of
	// the present.
	answersLifetime = 3 * time.Second
	// leastErrorShare is the share of errors that is taken to be usual at least: with
	// none at all seen, the first error anywhere would be beyond chance.
	leastErrorShare = 0.02
	// doubtfulOdds and certainOdds are the logarithms of the odds against chance from
	// which on a machine gets fewer requests, and as few as its errors call for: about
	// 7 and 50 to one.
	doubtfulOdds = 2.0
	certainOdds  = 4.0
	// avoidance is how steeply a machine's share of requests falls with its share of
	// answers that are no errors: at 4, one that fails 40 in 100 gets an eighth.
	avoidance = 4
	// probeShare is the share of its requests that a machine keeps in any case, so that
	// its recovery is seen.
	probeShare = 0.05
)

// ResponseCounts counts how a machine answered.
type ResponseCounts struct {
	// Total counts the requests that ended there, Errors those of them that ended
	// with the machine's own failure, or without a whole answer.
	Total, Errors float64
}

// countAnswer notes how a request ended at a machine. A refusal, or a connection that
// did not come about, says nothing of how it answers; neither does silence, which may be
// overload: to move its requests to its peers would overload them next.
func (c *Scheduler) countAnswer(machine string, result Result) {
	counted := c.answered[machine]
	switch result {
	case ResultOK:
		counted.Total++
	case ResultError, ResultFailed:
		counted.Total++
		counted.Errors++
	default:
		return
	}
	c.answered[machine] = counted
}

// ResponseCounts counts how machines have answered this router since it started.
func (c *Scheduler) ResponseCounts() map[string]ResponseCounts {
	return maps.Clone(c.answered)
}

// forgetAnswers drops the counts of machines that have no targets any more.
func (c *Scheduler) forgetAnswers() {
	present := map[string]bool{}
	for _, held := range c.targets {
		present[held.Machine] = true
	}
	maps.DeleteFunc(c.answered, func(machine string, _ ResponseCounts) bool { return !present[machine] })
}

// SetResponseCounts replaces how machines answered all routers lately.
func (c *Scheduler) SetResponseCounts(now time.Time, answers map[string]ResponseCounts) {
	c.answers, c.answersAt = answers, now
}

// withoutFailing leaves out targets whose machine fails more than its peers, each for so
// many of the requests as its errors call for. Where none is left, all are as they were.
func (c *Scheduler) withoutFailing(now time.Time, request *Request, targets []*target) []*target {
	if len(c.answers) == 0 || len(targets) < 2 || now.Sub(c.answersAt) > answersLifetime {
		return targets
	}
	total := ResponseCounts{}
	for _, candidate := range targets {
		total = total.plus(c.answers[candidate.Machine])
	}
	if total.Errors == 0 {
		return targets
	}
	kept := make([]*target, 0, len(targets))
	for _, candidate := range targets {
		own := c.answers[candidate.Machine]
		trust := own.trust(total.minus(own))
		if trust >= 1 || uniform(c.config.Seed+request.ID, candidate.Machine) < trust {
			kept = append(kept, candidate)
		}
	}
	if len(kept) == 0 {
		return targets
	}
	return kept
}

func (a ResponseCounts) plus(other ResponseCounts) ResponseCounts {
	return ResponseCounts{Total: a.Total + other.Total, Errors: a.Errors + other.Errors}
}

func (a ResponseCounts) minus(other ResponseCounts) ResponseCounts {
	return ResponseCounts{Total: a.Total - other.Total, Errors: a.Errors - other.Errors}
}

// trust is the share of its requests that a machine keeps, by its answers and by those
// of its peers.
func (a ResponseCounts) trust(peers ResponseCounts) float64 {
	usual := leastErrorShare
	if peers.Total > 0 {
		usual = max(usual, peers.Errors/peers.Total)
	}
	odds := a.oddsAgainst(usual)
	if odds <= doubtfulOdds {
		return 1
	}
	share := a.Errors / a.Total
	deserved := max(probeShare, math.Pow((1-share)/(1-usual), avoidance))
	certainty := min(1, (odds-doubtfulOdds)/(certainOdds-doubtfulOdds))
	return 1 - certainty*(1-deserved)
}

// oddsAgainst is the logarithm of how much likelier the errors are at the machine's own
// share of them than at the usual one; 0 where it has no more than usual.
func (a ResponseCounts) oddsAgainst(usual float64) float64 {
	if a.Total <= 0 || usual >= 1 {
		return 0
	}
	share := min(1, a.Errors/a.Total)
	if share <= usual {
		return 0
	}
	odds := a.Errors * math.Log(share/usual)
	if share < 1 {
		odds += (a.Total - a.Errors) * math.Log((1-share)/(1-usual))
	}
	return odds
}
