package control

import (
	"sort"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// maybeDigest spreads soft state: who is live, when loads will be ready, and
// how loaded the machines are.
func (l *leader) maybeDigest(nodes map[string]nodeEntry, reports map[string]machineEntry) {
	now := l.node.now()
	if l.lastDigest != 0 && now-l.lastDigest < digestInterval {
		return
	}
	l.lastDigest = now
	l.digestSequence++
	digest := &wirepb.ClusterDigest{Term: l.term, Sequence: l.digestSequence, Leader: l.node.settings.Node, Revision: l.node.Revision()}
	for name, entry := range nodes {
		if now-entry.received > nodeTimeout {
			continue
		}
		if entry.report.GetRouter() && !entry.report.GetDraining() {
			digest.Routers++
		}
		digest.Nodes = append(digest.Nodes, &wirepb.NodeEntry{
			Name: name, Zone: entry.report.GetZone(), Draining: entry.report.GetDraining(),
		})
	}
	sort.Slice(digest.Nodes, func(i, j int) bool { return digest.Nodes[i].GetName() < digest.Nodes[j].GetName() })
	for _, estimate := range l.estimates {
		digest.Estimates = append(digest.Estimates, &wirepb.ReplicaEstimate{
			Version: estimate.Version, ReadyInMs: uint32(estimate.ReadyIn.Milliseconds()),
			Refused: estimate.Refused, Reason: estimate.Reason,
		})
	}
	for name, entry := range reports {
		if entry.report.GetRunning()+entry.report.GetQueued() > 0 {
			digest.Loads = append(digest.Loads, &wirepb.MachineLoad{
				Machine: name, Running: entry.report.GetRunning(), Queued: entry.report.GetQueued(),
			})
		}
	}
	l.node.takeDigest(digest)
	l.node.peers.broadcast(&wirepb.Envelope{Body: &wirepb.Envelope_ClusterDigest{ClusterDigest: digest}})
}
