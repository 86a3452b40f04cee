package controller

import (
	"math"
	"time"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// answerDecayTime is the time constant with which answer counts decay.
const answerDecayTime = 5 * time.Second

// answerTable counts the recent answers of each machine to all routers. A single router sees too few
// answers of each machine to detect failures.
type answerTable struct {
	machines map[string]*answerCount
	// reported holds the counters last reported by each node, by machine.
	reported nodeTotals[answerTotals]
}

// answerTotals are a node's counters for one machine since the node started.
type answerTotals struct {
	answered, errors uint64
}

// answerCount decays exponentially with answerDecayTime.
type answerCount struct {
	answered, errors float64
	updated          time.Duration
}

func newAnswerTable() *answerTable {
	return &answerTable{machines: map[string]*answerCount{}, reported: nodeTotals[answerTotals]{}}
}

// update adds the increments of a report's counters over the earlier ones.
func (t *answerTable) update(now time.Duration, previous, report *wirepb.NodeReport) {
	totals, hasBaseline := t.reported.totalsFor(previous, report)
	for _, entry := range report.GetAnswers() {
		before := totals[entry.GetMachine()]
		current := answerTotals{answered: max(before.answered, entry.GetAnswered()), errors: max(before.errors, entry.GetErrors())}
		totals[entry.GetMachine()] = current
		if hasBaseline {
			t.add(now, entry.GetMachine(), current.answered-before.answered, current.errors-before.errors)
		}
	}
}

func (t *answerTable) add(now time.Duration, machine string, answered, errors uint64) {
	count := t.machines[machine]
	if count == nil {
		count = &answerCount{updated: now}
		t.machines[machine] = count
	}
	count.decay(now)
	count.answered += float64(answered)
	count.errors += float64(errors)
}

func (c *answerCount) decay(now time.Duration) {
	factor := math.Exp(-max(0, (now-c.updated).Seconds()) / answerDecayTime.Seconds())
	c.answered *= factor
	c.errors *= factor
	c.updated = now
}

func (t *answerTable) forgetNode(name string) {
	delete(t.reported, name)
}

// Answers returns the decayed, rounded numbers of answers and of errors by machine. Entries that have
// decayed to 0 are dropped.
func (t *ReportTable) Answers(now time.Duration) (answered, errors map[string]uint32) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	answered, errors = map[string]uint32{}, map[string]uint32{}
	for machine, count := range t.answers.machines {
		count.decay(now)
		total := uint32(math.Round(count.answered))
		if total == 0 {
			delete(t.answers.machines, machine)
			continue
		}
		answered[machine] = total
		if failed := uint32(math.Round(count.errors)); failed > 0 {
			errors[machine] = failed
		}
	}
	return answered, errors
}
