package raft_test

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/weldline/weldline/internal/member"
	"github.com/weldline/weldline/internal/raft"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// memoryDisk is an in-memory storage that survives a restart.
type memoryDisk struct{ recovered member.Recovered }

func (d *memoryDisk) Append(record *wirepb.WalRecord) error {
	d.recovered.Records = append(d.recovered.Records, record)
	return nil
}

func (d *memoryDisk) SaveSnapshot(snapshot *wirepb.Snapshot, rest *wirepb.WalRecord) error {
	d.recovered = member.Recovered{Snapshot: snapshot, Records: []*wirepb.WalRecord{rest}}
	return nil
}

// cluster runs members with a manual clock and manual message delivery.
type cluster struct {
	t         testing.TB
	now       time.Duration
	bootstrap *wirepb.Membership
	compact   uint64
	disks     map[uint64]*memoryDisk
	members   map[uint64]*member.Member
	cut       map[uint64]bool
	pending   []*wirepb.RaftMessage
	applied   map[uint64][]string
}

func (c *cluster) start(id uint64) {
	config := raft.Config{
		ID: id, ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond,
		LeaseMargin: 100 * time.Millisecond, MaxEntriesPerMessage: 4, MaxInflightMessages: 2,
		// Lower IDs have shorter timeouts, so that the order of campaigns is deterministic.
		Random: func(int64) int64 { return int64(id) * int64(50*time.Millisecond) },
	}
	c.startWith(id, config)
}

func (c *cluster) startWith(id uint64, config raft.Config) {
	if c.disks[id] == nil {
		c.disks[id] = &memoryDisk{}
	}
	opened, err := member.Open(config, c.bootstrap, c.disks[id].recovered, c.disks[id], c.now, c.compact)
	if err != nil {
		c.t.Fatal(err)
	}
	c.members[id] = opened
	c.process(id)
}

func (c *cluster) process(id uint64) {
	output, err := c.members[id].Process()
	if err != nil {
		c.t.Fatal(err)
	}
	c.pending = append(c.pending, output.Messages...)
	for _, applied := range output.Applied {
		if len(applied.Entry.GetData()) > 0 && applied.Entry.GetKind() == wirepb.EntryKind_ENTRY_KIND_COMMAND {
			c.applied[id] = append(c.applied[id], string(applied.Entry.GetData()))
		}
	}
}

func (c *cluster) ids() []uint64 {
	var ids []uint64
	for id := range c.members {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// settle delivers messages until none is pending. Messages from or to a partitioned node are
// dropped.
func (c *cluster) settle() {
	for len(c.pending) > 0 {
		message := c.pending[0]
		c.pending = c.pending[1:]
		target := c.members[message.GetTo()]
		if target == nil || c.cut[message.GetTo()] || c.cut[message.GetFrom()] {
			continue
		}
		target.Raft.Step(c.now, message)
		c.process(message.GetTo())
	}
}

// deliver delivers the pending messages from one node to another.
func (c *cluster) deliver(from, to uint64) {
	var rest []*wirepb.RaftMessage
	queued := c.pending
	c.pending = nil
	for _, message := range queued {
		if message.GetFrom() == from && message.GetTo() == to {
			c.members[to].Raft.Step(c.now, message)
			c.process(to)
			continue
		}
		rest = append(rest, message)
	}
	c.pending = append(rest, c.pending...)
}

func (c *cluster) pass(span time.Duration) {
	const step = 10 * time.Millisecond
	for end := c.now + span; c.now < end; {
		c.now += step
		for _, id := range c.ids() {
			c.members[id].Raft.Tick(c.now)
			c.process(id)
		}
		c.settle()
	}
}

func (c *cluster) report() string {
	var out strings.Builder
	for _, id := range c.ids() {
		status := c.members[id].Raft.Status()
		lease := ""
		if c.members[id].Raft.LeaseValid(c.now) {
			lease = " lease"
		}
		snapshot := ""
		if status.FirstIndex > 1 {
			snapshot = " compacted"
		}
		fmt.Fprintf(&out, "%d: %s term=%d leader=%d voters=%v learners=%v applied=%s%s%s\n",
			id, status.Role, status.Term, status.Leader, status.Voters, status.Learners,
			strings.Join(c.applied[id], ","), lease, snapshot)
	}
	return out.String()
}

func ids(t *testing.T, d *datadriven.TestData, name string) []uint64 {
	var found []uint64
	for _, argument := range d.CmdArgs {
		if argument.Key != name {
			continue
		}
		for position := range argument.Vals {
			var id uint64
			argument.Scan(t, position, &id)
			found = append(found, id)
		}
	}
	return found
}

func TestCluster(t *testing.T) {
	datadriven.Walk(t, "testdata/cluster", func(t *testing.T, path string) {
		c := &cluster{
			t: t, disks: map[uint64]*memoryDisk{}, members: map[uint64]*member.Member{},
			cut: map[uint64]bool{}, applied: map[uint64][]string{}, compact: 1 << 30,
		}
		datadriven.RunTest(t, path, c.run)
	})
}

func (c *cluster) run(t *testing.T, d *datadriven.TestData) string {
	node := func() (id uint64) { d.ScanArgs(t, "node", &id); return id }
	switch d.Cmd {
	case "cluster":
		d.MaybeScanArgs(t, "compact", &c.compact)
		c.bootstrap = &wirepb.Membership{Voters: ids(t, d, "voters"), Learners: ids(t, d, "learners")}
		for _, id := range append(ids(t, d, "voters"), ids(t, d, "learners")...) {
			c.start(id)
		}
	case "pass":
		var milliseconds int
		d.ScanArgs(t, "ms", &milliseconds)
		c.pass(time.Duration(milliseconds) * time.Millisecond)
	case "propose":
		id := node()
		var failure string
		for _, command := range strings.Fields(d.Input) {
			if _, _, err := c.members[id].Raft.Propose(c.now, []byte(command)); err != nil {
				failure = "refused: not the leader\n"
			}
		}
		c.process(id)
		c.settle()
		return failure + c.report()
	case "membership":
		id := node()
		err := c.members[id].Raft.ProposeMembership(c.now, &wirepb.Membership{Voters: ids(t, d, "voters"), Learners: ids(t, d, "learners")})
		c.process(id)
		c.settle()
		if err != nil {
			return err.Error() + "\n"
		}
	case "cut":
		c.cut[node()] = true
	case "heal":
		delete(c.cut, node())
	case "kill":
		delete(c.members, node())
	case "gone":
		var gone uint64
		d.ScanArgs(t, "member", &gone)
		c.members[node()].Raft.MarkTerminated(c.now, gone)
	case "lose-disk":
		delete(c.disks, node())
	case "start":
		c.applied[node()] = nil
		c.start(node())
		c.settle()
	case "expire":
		// Advances the clock past the election timeout. Only the listed nodes tick, and their
		// messages stay pending.
		c.now += 2 * time.Second
		if !d.HasArg("nodes") {
			break
		}
		for _, id := range ids(t, d, "nodes") {
			c.members[id].Raft.Tick(c.now)
			c.process(id)
		}
	case "deliver":
		var from, to uint64
		d.ScanArgs(t, "from", &from)
		d.ScanArgs(t, "to", &to)
		c.deliver(from, to)
	case "restart":
		id := node()
		if d.HasArg("forget-vote") {
			for _, record := range c.disks[id].recovered.Records {
				record.HardState.Vote = raft.None
			}
		}
		c.start(id)
	case "join":
		// A new node with an empty disk, initialized to join.
		id := node()
		bootstrap := c.bootstrap
		c.bootstrap = &wirepb.Membership{}
		delete(c.disks, id)
		c.applied[id] = nil
		c.start(id)
		c.bootstrap = bootstrap
		c.settle()
	case "transfer":
		c.members[node()].Raft.TransferLeadership()
		c.process(node())
		c.settle()
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return c.report()
}
