package control

import (
	"context"
	"sync"
	"time"

	"github.com/weldline/weldline/internal/membership"
	"github.com/weldline/weldline/internal/raft"
	"github.com/weldline/weldline/internal/settings"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	joinInterval = 250 * time.Millisecond
	// joinLifetime is how long a request to join is remembered; the node
	// repeats it until it sees itself among the members.
	joinLifetime = 2 * time.Second
	// leaderSilence, in election timeouts, is after how much silence a member
	// takes it that it may have been removed.
	leaderSilence = 2
	// forgetLearnerAfter is how long a silent learner stays a member.
	forgetLearnerAfter = 30 * time.Second
)

// joinTable holds the newest request to join from each address.
type joinTable struct {
	mutex sync.Mutex
	held  map[string]joinEntry
}

type joinEntry struct {
	member   *wirepb.MemberAddress
	received time.Duration
}

func newJoinTable() *joinTable {
	return &joinTable{held: map[string]joinEntry{}}
}

func (t *joinTable) put(now time.Duration, member *wirepb.MemberAddress) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.held[member.GetAddress()] = joinEntry{member: member, received: now}
}

func (t *joinTable) recent(now time.Duration) []*wirepb.MemberAddress {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var recent []*wirepb.MemberAddress
	for address, entry := range t.held {
		if now-entry.received > joinLifetime {
			delete(t.held, address)
			continue
		}
		recent = append(recent, entry.member)
	}
	return recent
}

// takeJoin keeps a request to join; one that comes from the node itself is
// passed on to the leader.
func (n *Node) takeJoin(member *wirepb.MemberAddress, sender uint64) {
	if member.GetId() == raft.None || member.GetAddress() == "" {
		return
	}
	n.joins.put(n.now(), member)
	status := n.status.Load()
	if status.Leader == status.ID {
		n.wakeLeader()
		return
	}
	if link := n.peers.link(status.Leader); link != nil && sender == member.GetId() {
		_ = link.send(joinEnvelope(member))
	}
}

// nextFormed returns the next step of the membership where the nodes find
// each other by themselves.
func (n *Node) nextFormed(node *raft.Node) *wirepb.Membership {
	return membership.Next(membership.Input{
		Status: node.Status(), Current: node.Membership(), Peers: node.Peers(), Joins: n.joins.recent(n.now()),
		Policy: n.membershipPolicy(),
	})
}

func (n *Node) membershipPolicy() membership.Policy {
	formation := n.settings.Formation
	return membership.Policy{
		Voters: formation.Voters(), Zones: formation.TolerateZones, Regions: formation.TolerateRegions,
		Places: n.settings.Position().Map, ReplaceAfter: n.settings.Control.ReplaceAfter, RemoveLearnerAfter: forgetLearnerAfter,
	}
}

// logTolerance tells, for each membership that comes into force, what its voters bear, and
// whether that is less than what they should.
func (n *Node) logTolerance(current *wirepb.Membership) {
	if !n.settings.Formation.Forms() || len(current.GetVoters()) == 0 {
		return
	}
	formation := n.settings.Formation
	borne := membership.ToleranceOf(current, n.membershipPolicy())
	n.metrics.observeTolerance(borne)
	n.logger.Info("voters_bear", "voters", len(current.GetVoters()),
		"machines", borne.Machines, "zones", borne.Zones, "regions", borne.Regions)
	if borne.Machines < formation.Tolerate || borne.Zones < formation.TolerateZones || borne.Regions < formation.TolerateRegions {
		n.logger.Warn("voters_bear_too_little", "machines_asked", formation.Tolerate,
			"zones_asked", formation.TolerateZones, "regions_asked", formation.TolerateRegions)
	}
}

// members are where the control nodes listen and stand; empty where the settings of all nodes
// list them.
func (n *Node) members() []*wirepb.MemberAddress {
	return n.membership.Load().GetAddresses()
}

func joinEnvelope(member *wirepb.MemberAddress) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_JoinRequest{JoinRequest: &wirepb.JoinRequest{Member: member}}}
}

func (n *Node) ownAddress() *wirepb.MemberAddress {
	return &wirepb.MemberAddress{
		Id: n.id, Address: n.settings.Control.Advertise, Node: n.settings.Node, Zone: n.settings.Zone,
	}
}

// isSettled reports whether the node is a member under its present address
// and hears from a leader.
func (n *Node) isSettled() bool {
	status := n.status.Load()
	silent := n.now()-status.LastContact > leaderSilence*n.settings.Control.ElectionTimeout
	if status.Leader == raft.None || status.Role != raft.Leader && silent {
		return false
	}
	own := n.ownAddress()
	for _, held := range n.membership.Load().GetAddresses() {
		if held.GetId() == own.GetId() {
			return held.GetAddress() == own.GetAddress() && held.GetNode() == own.GetNode() && held.GetZone() == own.GetZone()
		}
	}
	return false
}

// runJoin asks to join as long as the node is not settled: the seeds, and
// whoever else it knows. A node that was removed while it was away notices the
// same way.
func (n *Node) runJoin(ctx context.Context, workers *sync.WaitGroup) {
	var seeds []*peerLink
	stopSeeds := func() {}
	defer func() { stopSeeds() }()
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for {
		if n.isSettled() {
			stopSeeds()
			seeds, stopSeeds = nil, func() {}
		} else {
			if seeds == nil {
				seeds, stopSeeds = n.dialSeeds(ctx, workers)
			}
			n.askToJoin(seeds)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) askToJoin(seeds []*peerLink) {
	own := n.ownAddress()
	status := n.status.Load()
	if status.Role == raft.Leader {
		n.takeJoin(own, n.id)
		return
	}
	for _, link := range append(n.peers.all(), seeds...) {
		_ = link.send(joinEnvelope(own))
	}
}

func (n *Node) dialSeeds(ctx context.Context, workers *sync.WaitGroup) ([]*peerLink, context.CancelFunc) {
	running, cancel := context.WithCancel(ctx)
	var links []*peerLink
	for _, address := range n.seeds() {
		if address == n.settings.Control.Advertise {
			continue
		}
		link := newPeerLink(n, settings.Member{Address: address})
		links = append(links, link)
		workers.Go(func() { link.run(running) })
	}
	return links, cancel
}
