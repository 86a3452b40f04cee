package membership_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/member"
	"github.com/weldline/weldline/internal/membership"
	"github.com/weldline/weldline/internal/raft"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	tick            = 10 * time.Millisecond
	electionTimeout = 500 * time.Millisecond
	replaceAfter    = 2 * time.Second
)

// disk is a storage in memory; it outlives the process on it, but not its own
// loss.
type disk struct {
	recovered member.Recovered
}

func (d *disk) Append(record *wirepb.WalRecord) error {
	d.recovered.Records = append(d.recovered.Records, record)
	return nil
}

func (d *disk) SaveSnapshot(snapshot *wirepb.Snapshot, rest *wirepb.WalRecord) error {
	d.recovered = member.Recovered{Snapshot: snapshot, Records: []*wirepb.WalRecord{rest}}
	return nil
}

// machine is a control node at an address. Its identity belongs to its disk.
type machine struct {
	address string
	zone    string
	id      uint64
	first   []string
	disk    *disk
	member  *member.Member
	up      bool
	cut     bool
}

// cluster runs control nodes in virtual time: what the processes do with a
// clock, connections and the pure parts.
type cluster struct {
	t        *testing.T
	now      time.Duration
	random   *rand.Rand
	seeds    []string
	machines []*machine
	voters   int
	// zones is how many zones may be lost.
	zones  int
	nextID uint64
	joins  map[string]*wirepb.MemberAddress
	mail   []letter
	// commits are the entries that were acknowledged, by value.
	commits []string
}

type letter struct {
	to      uint64
	message *wirepb.RaftMessage
}

func newCluster(t *testing.T, seed uint64, seeds, others, voters int) *cluster {
	t.Helper()
	created := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), voters: voters, nextID: 1000, joins: map[string]*wirepb.MemberAddress{},
	}
	for position := range seeds {
		created.seeds = append(created.seeds, addressOf(position))
	}
	for position := range seeds + others {
		added := created.add(addressOf(position), "zone-"+strconv.Itoa(position%3))
		created.start(added, true)
	}
	return created
}

func addressOf(position int) string {
	return "10.0.0." + strconv.Itoa(position+1) + ":7000"
}

func (c *cluster) add(address, zone string) *machine {
	added := &machine{address: address, zone: zone}
	c.machines = append(c.machines, added)
	return added
}

// start starts the process of a machine: with the identity on its disk, or a
// new one if the disk is empty.
func (c *cluster) start(target *machine, first bool) {
	if target.disk == nil {
		target.disk, target.first = &disk{}, nil
		if first && slices.Contains(c.seeds, target.address) {
			target.id, target.first = membership.SeedID(target.address), c.seeds
		} else {
			c.nextID++
			target.id = c.nextID
		}
	}
	initial := &wirepb.Membership{}
	if len(target.first) > 0 {
		initial = membership.InitialMembership(target.first)
	}
	config := raft.Config{
		ID: target.id, ElectionTimeout: electionTimeout, HeartbeatInterval: 100 * time.Millisecond, LeaseMargin: 100 * time.Millisecond,
		MaxEntriesPerMessage: 64, MaxInflightMessages: 16, Random: c.random.Int64N,
	}
	opened, err := member.Open(config, initial, target.disk.recovered, target.disk, c.now, 1<<20)
	if err != nil {
		c.t.Fatal(err)
	}
	target.member, target.up = opened, true
}

func (c *cluster) kill(target *machine) { target.up = false }

// wipe takes a machine's disk with its process.
func (c *cluster) wipe(target *machine) {
	target.up, target.disk = false, nil
}

// run lets time pass.
func (c *cluster) run(span time.Duration) {
	for end := c.now + span; c.now < end; {
		c.now += tick
		mail := c.mail
		c.mail = nil
		for _, sent := range mail {
			if target := c.byID(sent.to); target != nil && c.reachable(target) {
				target.member.Raft.Step(c.now, sent.message)
			}
		}
		for _, target := range c.machines {
			if target.up {
				target.member.Raft.Tick(c.now)
				c.process(target)
			}
		}
		if c.now%(250*time.Millisecond) == 0 {
			c.join()
		}
		if c.now%(100*time.Millisecond) == 0 {
			c.repair()
		}
	}
}

func (c *cluster) reachable(target *machine) bool { return target.up && !target.cut }

func (c *cluster) byID(id uint64) *machine {
	for _, target := range c.machines {
		if target.up && target.id == id {
			return target
		}
	}
	return nil
}

func (c *cluster) process(target *machine) {
	output, err := target.member.Process()
	if err != nil {
		c.t.Fatal(err)
	}
	for _, message := range output.Messages {
		if !target.cut {
			c.mail = append(c.mail, letter{to: message.GetTo(), message: message})
		}
	}
}

// join passes the requests of nodes that are no members to the leader.
func (c *cluster) join() {
	for _, target := range c.machines {
		if !c.reachable(target) {
			continue
		}
		listed := slices.ContainsFunc(target.member.Raft.Membership().GetAddresses(), func(held *wirepb.MemberAddress) bool {
			return held.GetId() == target.id && held.GetZone() == target.zone
		})
		status := target.member.Raft.Status()
		silent := status.Role != raft.Leader && c.now-status.LastContact > 2*electionTimeout
		if !listed || silent {
			c.joins[target.address] = &wirepb.MemberAddress{Id: target.id, Address: target.address, Zone: target.zone}
		} else {
			delete(c.joins, target.address)
		}
	}
}

func (c *cluster) leader() *machine {
	for _, target := range c.machines {
		if c.reachable(target) && target.member.Raft.LeaseValid(c.now) {
			return target
		}
	}
	return nil
}

func (c *cluster) repair() {
	leading := c.leader()
	if leading == nil {
		return
	}
	var joins []*wirepb.MemberAddress
	for _, target := range c.machines {
		if join := c.joins[target.address]; join != nil && c.reachable(target) && target.id == join.GetId() {
			joins = append(joins, join)
		}
	}
	node := leading.member.Raft
	next := membership.Next(membership.Input{
		Status: node.Status(), Current: node.Membership(), Peers: node.Peers(), Joins: joins,
		Policy: membership.Policy{Voters: c.voters, Zones: c.zones, ReplaceAfter: replaceAfter, RemoveLearnerAfter: 30 * time.Second},
	})
	if next != nil {
		_ = node.ProposeMembership(c.now, next)
	}
}

// commit has the leader commit an entry, and notes it once it is acknowledged.
func (c *cluster) commit() {
	c.t.Helper()
	leading := c.leader()
	if leading == nil {
		c.t.Fatalf("at %s there is no leader to commit", c.now)
	}
	value := "v" + strconv.Itoa(len(c.commits))
	index, term, err := leading.member.Propose(c.now, &wirepb.Command{
		RequestId: value, Body: &wirepb.Command_Register{Register: &wirepb.RegisterCommand{Machine: value}},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	for range 100 {
		c.run(tick)
		status := leading.member.Raft.Status()
		if status.Applied >= index && status.Term == term {
			c.commits = append(c.commits, value)
			return
		}
	}
	c.t.Fatalf("at %s %s is not committed", c.now, value)
}

// check checks that everything acknowledged is in the log of the leader, and
// that the votes of the expected number of running nodes count.
func (c *cluster) check(voters int) {
	c.t.Helper()
	leading := c.leader()
	if leading == nil {
		c.t.Fatalf("at %s there is no leader", c.now)
	}
	held := map[string]bool{}
	for _, record := range leading.disk.recovered.Records {
		for _, entry := range record.GetEntries() {
			held[requestOf(c.t, entry)] = true
		}
	}
	for _, value := range c.commits {
		if !held[value] {
			c.t.Errorf("at %s the leader has lost %s", c.now, value)
		}
	}
	current := leading.member.Raft.Membership()
	if len(current.GetVoters()) != voters {
		c.t.Errorf("at %s there are %d voters, not %d", c.now, len(current.GetVoters()), voters)
	}
	for _, id := range current.GetVoters() {
		if c.byID(id) == nil {
			c.t.Errorf("at %s voter %d is nobody's identity", c.now, id)
		}
	}
}

func (c *cluster) voter(position int) *machine {
	return c.byID(c.leader().member.Raft.Membership().GetVoters()[position])
}

// follower returns a voter that does not lead.
func (c *cluster) follower() *machine {
	leading := c.leader()
	for _, id := range leading.member.Raft.Membership().GetVoters() {
		if id != leading.id {
			return c.byID(id)
		}
	}
	return nil
}
