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
	// joinLifetime is how long a join request is kept; a node repeats its request until it is a
	// member.
	joinLifetime = 2 * time.Second
	// leaderLostElectionTimeouts is the number of election timeouts without leader contact after
	// which a member assumes that it may have been removed.
	leaderLostElectionTimeouts = 2
	removeLearnerAfter         = 30 * time.Second
)

// joinTable holds the latest join request from each address.
type joinTable struct {
	mutex    sync.Mutex
	requests map[string]joinEntry
}

type joinEntry struct {
	member     *wirepb.MemberAddress
	receivedAt time.Duration
}

func newJoinTable() *joinTable {
	return &joinTable{requests: map[string]joinEntry{}}
}

func (t *joinTable) put(now time.Duration, member *wirepb.MemberAddress) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.requests[member.GetAddress()] = joinEntry{member: member, receivedAt: now}
}

func (t *joinTable) recent(now time.Duration) []*wirepb.MemberAddress {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var recent []*wirepb.MemberAddress
	for address, entry := range t.requests {
		if now-entry.receivedAt > joinLifetime {
			delete(t.requests, address)
			continue
		}
		recent = append(recent, entry.member)
	}
	return recent
}

// receiveJoin stores a join request and forwards one that comes from the joining node itself to the
// leader.
func (n *Node) receiveJoin(member *wirepb.MemberAddress, sender uint64) {
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

// nextMembership returns the next membership change in a cluster that forms from seeds.
func (n *Node) nextMembership(node *raft.Node) *wirepb.Membership {
	return membership.Next(membership.Input{
		Status: node.Status(), Current: node.Membership(), Peers: node.Peers(), Joins: n.joins.recent(n.now()),
		Policy: n.membershipPolicy(),
	})
}

func (n *Node) membershipPolicy() membership.Policy {
	formation := n.settings.Formation
	return membership.Policy{
		Voters: formation.VoterCount(), Zones: formation.TolerateZones, Regions: formation.TolerateRegions,
		Places: n.settings.Location().Zones, ReplaceAfter: n.settings.Control.ReplaceAfter, RemoveLearnerAfter: removeLearnerAfter,
	}
}

// logTolerance logs how many losses the voters of a new membership tolerate, and a warning if that
// is less than configured.
func (n *Node) logTolerance(current *wirepb.Membership) {
	if !n.settings.Formation.UsesSeeds() || len(current.GetVoters()) == 0 {
		return
	}
	formation := n.settings.Formation
	tolerance := membership.ToleranceOf(current, n.membershipPolicy())
	n.metrics.observeTolerance(tolerance)
	n.logger.Info("voters_bear", "voters", len(current.GetVoters()),
		"machines", tolerance.Machines, "zones", tolerance.Zones, "regions", tolerance.Regions)
	if tolerance.Machines < formation.Tolerate || tolerance.Zones < formation.TolerateZones || tolerance.Regions < formation.TolerateRegions {
		n.logger.Warn("voters_bear_too_little", "machines_asked", formation.Tolerate,
			"zones_asked", formation.TolerateZones, "regions_asked", formation.TolerateRegions)
	}
}

// members returns the addresses of the control nodes; none if the settings list all members.
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

// hasJoined reports whether the node is a member under its current address, name and zone, and has
// contact with a leader.
func (n *Node) hasJoined() bool {
	status := n.status.Load()
	silent := n.now()-status.LastContact > leaderLostElectionTimeouts*n.settings.Control.ElectionTimeout
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

// runJoin sends join requests to the seeds and all known peers until the node has joined. A node
// that was removed while unreachable joins again the same way.
func (n *Node) runJoin(ctx context.Context, workers *sync.WaitGroup) {
	var seeds []*peerLink
	stopSeeds := func() {}
	defer func() { stopSeeds() }()
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for {
		if n.hasJoined() {
			stopSeeds()
			seeds, stopSeeds = nil, func() {}
		} else {
			if seeds == nil {
				seeds, stopSeeds = n.dialSeeds(ctx, workers)
			}
			n.sendJoinRequests(seeds)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) sendJoinRequests(seeds []*peerLink) {
	own := n.ownAddress()
	status := n.status.Load()
	if status.Role == raft.Leader {
		n.receiveJoin(own, n.id)
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
