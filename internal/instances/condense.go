package instances

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// maxCondensed bounds the machines that a Condenser remembers: a few times as many as one control
// node hears of. Beyond, it begins anew, and the next reports go out whole.
const maxCondensed = 4096

// WithContentHash returns a report with the hash of its content. It is the report itself where that
// has one.
func WithContentHash(report *wirepb.InstanceReport) *wirepb.InstanceReport {
	if report.GetContent() != 0 {
		return report
	}
	hashed := proto.CloneOf(report)
	hashed.Sequence, hashed.AgeMs, hashed.WarmingMs = 0, 0, 0
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(hashed)
	if err != nil {
		return report // Without a hash it always goes whole.
	}
	hashed.Sequence, hashed.AgeMs, hashed.WarmingMs = report.GetSequence(), report.GetAgeMs(), report.GetWarmingMs()
	hashed.Content = max(1, xxhash.Sum64(encoded))
	return hashed
}

// Deduplicator leaves out of reports what the receiver at the other end of a connection has been
// sent: machines say every second or so that they are there, and seldom anything new about what
// they hold. It belongs to one connection and is not safe for concurrent use.
type Deduplicator struct {
	// sent holds, by machine, the newest report; its content has been sent whole.
	sent map[string]*wirepb.InstanceReport
}

// NewDeduplicator returns a Condenser of a new connection.
func NewDeduplicator() *Deduplicator {
	return &Deduplicator{sent: map[string]*wirepb.InstanceReport{}}
}

// Encode returns a report as it is sent next.
func (c *Deduplicator) Encode(report *wirepb.InstanceReport) *wirepb.InstanceReport {
	last, known := c.sent[report.GetMachine()]
	if !known && len(c.sent) >= maxCondensed {
		clear(c.sent)
	}
	c.sent[report.GetMachine()] = report
	if known && report.GetContent() != 0 && last.GetContent() == report.GetContent() {
		return &wirepb.InstanceReport{
			Machine: report.GetMachine(), StartedMs: report.GetStartedMs(), Sequence: report.GetSequence(), AgeMs: report.GetAgeMs(),
			WarmingMs: report.GetWarmingMs(), Content: report.GetContent(), Unchanged: true,
		}
	}
	return report
}

// Full returns a machine's newest report with all that it holds; nil if there is none.
func (c *Deduplicator) Full(machine string) *wirepb.InstanceReport {
	return c.sent[machine]
}

// Restore returns a report with what was left out of it, by the name of the machine's record; whole
// is false where the table does not hold that. What it holds of another content, by way of another
// control node, is no stand-in.
func (t *Table) Restore(name string, report *wirepb.InstanceReport) (completed *wirepb.InstanceReport, whole bool) {
	if !report.GetUnchanged() {
		return report, true
	}
	t.mutex.Lock()
	held := t.entries[name].Report
	t.mutex.Unlock()
	if held == nil || held.GetContent() != report.GetContent() {
		return nil, false
	}
	return &wirepb.InstanceReport{
		Machine: report.GetMachine(), StartedMs: report.GetStartedMs(),
		Sequence: report.GetSequence(), AgeMs: report.GetAgeMs(), WarmingMs: report.GetWarmingMs(),
		Content: report.GetContent(), Pool: held.GetPool(), Endpoint: held.GetEndpoint(), Zone: held.GetZone(), Slots: held.GetSlots(),
		Models: held.GetModels(), Checkpoints: held.GetCheckpoints(), Leaving: held.GetLeaving(),
	}, true
}
