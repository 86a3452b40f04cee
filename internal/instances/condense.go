package instances

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// maxRemembered bounds the machines whose reports a Deduplicator remembers. When it is exceeded, all
// are dropped and the next reports are sent in full.
const maxRemembered = 4096

// WithContentHash returns a report with the hash of its content, which excludes the fields that change
// with every report.
func WithContentHash(report *wirepb.InstanceReport) *wirepb.InstanceReport {
	if report.GetContent() != 0 {
		return report
	}
	hashed := proto.CloneOf(report)
	hashed.Sequence, hashed.AgeMs, hashed.WarmingMs = 0, 0, 0
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(hashed)
	if err != nil {
		return report // Without a hash it is always sent in full.
	}
	hashed.Sequence, hashed.AgeMs, hashed.WarmingMs = report.GetSequence(), report.GetAgeMs(), report.GetWarmingMs()
	hashed.Content = max(1, xxhash.Sum64(encoded))
	return hashed
}

// Deduplicator omits content from reports that the receiver of a connection was already sent: most
// heartbeats repeat the one before. It is not safe for concurrent use.
type Deduplicator struct {
	// sent has the newest report of each machine. Its content was sent in full, in this or an earlier
	// report.
	sent map[string]*wirepb.InstanceReport
}

// NewDeduplicator returns a Deduplicator for a new connection.
func NewDeduplicator() *Deduplicator {
	return &Deduplicator{sent: map[string]*wirepb.InstanceReport{}}
}

// Encode returns the message to send for a report.
func (c *Deduplicator) Encode(report *wirepb.InstanceReport) *wirepb.InstanceReport {
	last, known := c.sent[report.GetMachine()]
	if !known && len(c.sent) >= maxRemembered {
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

// Full returns the newest report of a machine with its content, or nil if there is none.
func (c *Deduplicator) Full(machine string) *wirepb.InstanceReport {
	return c.sent[machine]
}

// Restore returns a report with the content that a Deduplicator omitted, taken from the stored report
// of the machine's record. It returns false if there is no stored report, or if its content differs, for
// example because it arrived through another control node.
func (t *Table) Restore(name string, report *wirepb.InstanceReport) (restored *wirepb.InstanceReport, complete bool) {
	if !report.GetUnchanged() {
		return report, true
	}
	t.mutex.Lock()
	stored := t.entries[name].Report
	t.mutex.Unlock()
	if stored == nil || stored.GetContent() != report.GetContent() {
		return nil, false
	}
	return &wirepb.InstanceReport{
		Machine: report.GetMachine(), StartedMs: report.GetStartedMs(),
		Sequence: report.GetSequence(), AgeMs: report.GetAgeMs(), WarmingMs: report.GetWarmingMs(),
		Content: report.GetContent(), Pool: stored.GetPool(), Endpoint: stored.GetEndpoint(), Zone: stored.GetZone(), Slots: stored.GetSlots(),
		Models: stored.GetModels(), Checkpoints: stored.GetCheckpoints(), Leaving: stored.GetLeaving(),
		Software: stored.GetSoftware(),
	}, true
}
