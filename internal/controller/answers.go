package controller

import (
	"math"
	"time"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// answerMemory is the time over which answers of machines are counted: long enough to
// see a few of each machine, short enough that one that has recovered is trusted again
// soon.
const answerMemory = 5 * time.Second

// answerTable counts how machines answered all routers lately. Each router alone sees
// too few answers of each machine: of a hundred routers, one in some tens of seconds.
type answerTable struct {
	machines map[string]*answerCount
	// reported are the running totals of each node, by machine.
	reported nodeTotals[answerTotals]
}

// answerTotals are a node's counts for one machine since the node started.
type answerTotals struct {
	answered, errors uint64
}

// answerCount decays with answerMemory.
type answerCount struct {
	answered, errors float64
	updated          time.Duration
}

func newAnswerTable() *answerTable {
	return &answerTable{machines: map[string]*answerCount{}, reported: nodeTotals[answerTotals]{}}
}

// take adds what is new in a report.
func (t *answerTable) take(now time.Duration, held, report *wirepb.NodeReport) {
	totals, isNews := t.reported.of(held, report)
	for _, entry := range report.GetAnswers() {
		before := totals[entry.GetMachine()]
		current := answerTotals{answered: max(before.answered, entry.GetAnswered()), errors: max(before.errors, entry.GetErrors())}
		totals[entry.GetMachine()] = current
		if isNews {
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
	keep := math.Exp(-max(0, (now-c.updated).Seconds()) / answerMemory.Seconds())
	c.answered *= keep
	c.errors *= keep
	c.updated = now
}

func (t *answerTable) forgetNode(name string) {
	delete(t.reported, name)
}

// Answers returns how many requests ended at each machine lately, and how many of them
// as errors, rounded; machines without either are left out, and forgotten.
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
