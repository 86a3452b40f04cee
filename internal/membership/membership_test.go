package membership_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/membership"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

func requestOf(t *testing.T, entry *wirepb.Entry) string {
	t.Helper()
	command := &wirepb.Command{}
	if entry.GetKind() != wirepb.EntryKind_ENTRY_KIND_COMMAND || len(entry.GetData()) == 0 {
		return ""
	}
	if err := proto.Unmarshal(entry.GetData(), command); err != nil {
		t.Fatal(err)
	}
	return command.GetRequestId()
}

// settle is more time than an election and a repair take.
const settle = 6 * time.Second

const seeds = 20

// eachSeed runs a story under several courses of chance.
func eachSeed(t *testing.T, story func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := uint64(1); seed <= seeds; seed++ {
		story(t, seed)
	}
}

func TestFormationFromSeeds(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		c := newCluster(t, seed, 3, 1, 3)
		c.run(settle)
		c.commit()
		c.check(3)
		if learners := c.leader().member.Raft.Membership().GetLearners(); len(learners) != 1 {
			t.Errorf("the fourth node is not a learner: %v", learners)
		}
	})
}

func TestMoreVotersThanSeeds(t *testing.T) {
	c := newCluster(t, 1, 3, 4, 5)
	c.run(settle)
	c.commit()
	c.check(5)
}

// TestLostDisk: a node that comes back at its address with an empty disk does
// not vote as the one that it was, and takes its place as another.
func TestLostDisk(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		c := newCluster(t, seed, 3, 0, 3)
		c.run(settle)
		for range 3 {
			c.commit()
			victim := c.follower()
			before := victim.id
			c.wipe(victim)
			c.run(300 * time.Millisecond)
			c.start(victim, false)
			c.run(settle)
			if victim.id == before {
				t.Fatal("the identity outlived its disk")
			}
			c.check(3)
		}
	})
}

// TestLeaderLosesItsDisk right after it has acknowledged something.
func TestLeaderLosesItsDisk(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		c := newCluster(t, seed, 3, 0, 3)
		c.run(settle)
		for range 3 {
			c.commit()
			victim := c.leader()
			c.wipe(victim)
			c.run(time.Second)
			c.start(victim, false)
			c.run(settle)
			c.check(3)
		}
	})
}

// TestLostDiskWhileTheOthersLosePower: one disk is lost, the others come back
// from power-off; nothing acknowledged is lost.
func TestLostDiskWhileTheOthersLosePower(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		c := newCluster(t, seed, 3, int(seed%2), 3)
		c.run(settle)
		c.commit()
		victim := c.leader()
		for _, target := range c.machines {
			if target == victim {
				c.wipe(target)
			} else {
				c.kill(target)
			}
		}
		c.run(time.Second)
		for _, target := range c.machines {
			c.start(target, false)
		}
		c.run(settle)
		c.commit()
		c.check(3)
	})
}

// TestReplacedMachine: one is gone for good, an empty one comes at another
// address; the next loss follows as soon as the repair had its time.
func TestReplacedMachine(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		c := newCluster(t, seed, 3, 0, 3)
		c.run(settle)
		for round := range 3 {
			c.commit()
			gone := c.voter(round % 3)
			c.kill(gone)
			c.run(time.Second)
			c.start(c.add(addressOf(100+round), "zone-"+gone.zone), false)
			c.run(5 * time.Second)
			c.check(3)
		}
	})
}

// TestLossRightAfterARepair: quorum and acknowledged entries survive a loss
// just after the set of voters has changed, and a restart of all that follows.
func TestLossRightAfterARepair(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		c := newCluster(t, seed, 3, 1, 3)
		c.run(settle)
		c.commit()
		c.kill(c.follower())
		c.run(replaceAfter + time.Second)
		c.commit()
		c.check(3)
		for _, target := range c.machines {
			if target.up {
				c.kill(target)
			}
		}
		// The first two by chance come back; the third is lost for good.
		back := 0
		for _, target := range c.machines {
			if target.disk != nil && back < 3 {
				c.start(target, false)
				back++
			}
		}
		c.run(settle)
		c.commit()
	})
}

// TestCutVoterReturns: a voter that was replaced while it was cut off becomes a
// learner when it returns, and leads nobody meanwhile.
func TestCutVoterReturns(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		c := newCluster(t, seed, 3, 1, 3)
		c.run(settle)
		cut := c.leader()
		cut.cut = true
		c.run(settle)
		if cut.member.Raft.LeaseValid(c.now) {
			t.Fatal("a leader that is cut off holds its lease")
		}
		c.commit()
		cut.cut = false
		c.run(settle)
		c.commit()
		c.check(3)
		if learners := c.leader().member.Raft.Membership().GetLearners(); len(learners) != 1 || learners[0] != cut.id {
			t.Errorf("learners are %v, the returned node is %d", learners, cut.id)
		}
	})
}

// TestZoneIsLost: where three of five first voters stand in one zone, the log would be lost with
// it. The voters spread out, and what is committed outlives any zone.
func TestZoneIsLost(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		c := newCluster(t, seed, 0, 0, 5)
		c.zones = 1
		for position := range 3 {
			c.seeds = append(c.seeds, addressOf(position))
		}
		for position, zone := range []string{"a", "a", "a", "b", "b", "c", "c"} {
			c.add(addressOf(position), zone)
		}
		for _, target := range c.machines {
			c.start(target, true)
		}
		c.run(2 * settle)
		c.commit()
		c.check(5)
		lost := []string{"a", "b", "c"}[seed%3]
		for _, target := range c.machines {
			if target.zone == lost {
				c.kill(target)
			}
		}
		c.run(2 * time.Second)
		c.commit()
	})
}

// TestNext tables single steps.
func TestNext(t *testing.T) {
	address := func(id uint64, address string) *wirepb.MemberAddress {
		return &wirepb.MemberAddress{Id: id, Address: address}
	}
	current := &wirepb.Membership{
		Voters: []uint64{1, 2, 3}, Addresses: []*wirepb.MemberAddress{address(1, "a"), address(2, "b"), address(3, "c")},
	}
	input := membership.Input{Current: current, Policy: membership.Policy{Voters: 3, ReplaceAfter: replaceAfter, RemoveLearnerAfter: time.Minute}}
	input.Status.ID = 1
	if next := membership.Next(input); next != nil {
		t.Errorf("a whole set changes: %v", next)
	}
	input.Joins = []*wirepb.MemberAddress{address(9, "c")}
	if next := membership.Next(input); len(next.GetVoters()) != 2 || len(next.GetAddresses()) != 2 {
		t.Errorf("a dead voter is not removed: %v", next)
	}
	input.Joins = []*wirepb.MemberAddress{address(9, "a")}
	if next := membership.Next(input); len(next.GetVoters()) != 3 || len(next.GetLearners()) != 1 {
		t.Errorf("the leader must not remove itself: %v", next)
	}
	input.Current = &wirepb.Membership{Voters: []uint64{1, 2}, Addresses: []*wirepb.MemberAddress{address(1, "a"), address(2, "b")}}
	input.Joins = []*wirepb.MemberAddress{address(9, "b")}
	if next := membership.Next(input); len(next.GetVoters()) != 2 || len(next.GetLearners()) != 1 {
		t.Errorf("of two voters one is removed before another is there: %v", next)
	}
}
