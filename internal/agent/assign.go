package agent

import (
	"github.com/cespare/xxhash/v2"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// Assignment answers which node watches over a machine: of the live nodes in
// the machine's zone, or of all where the zone has none, the one with the
// highest hash of both names. A node that comes or goes moves only its own
// share of the machines.
type Assignment struct {
	byZone map[string][]string
	all    []string
}

// NewAssignment groups the live nodes by zone, so that only those of the
// machine's zone are looked at: hashing every node for every machine took a
// node 4 % of a core at the target size.
func NewAssignment(nodes []*wirepb.NodeEntry) Assignment {
	assignment := Assignment{byZone: map[string][]string{}}
	for _, node := range nodes {
		if node.GetDraining() {
			continue
		}
		assignment.byZone[node.GetZone()] = append(assignment.byZone[node.GetZone()], node.GetName())
		assignment.all = append(assignment.all, node.GetName())
	}
	return assignment
}

// AgentOf returns the node that watches over a machine; empty without nodes.
func (a Assignment) AgentOf(machine, zone string) string {
	candidates := a.byZone[zone]
	if len(candidates) == 0 {
		candidates = a.all
	}
	best, bestScore := "", uint64(0)
	for _, name := range candidates {
		score := xxhash.Sum64String(machine + "\x00" + name)
		if best == "" || score > bestScore {
			best, bestScore = name, score
		}
	}
	return best
}

// mayWatch reports whether a node of one zone may have to watch over machines
// of another: only where that has no nodes of its own.
func (a Assignment) mayWatch(nodeZone, machineZone string) bool {
	return nodeZone == machineZone || len(a.byZone[machineZone]) == 0
}
