package agent

import (
	"github.com/cespare/xxhash/v2"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// AgentOf returns the node that watches over a machine: of the live nodes in
// the machine's zone, or of all where the zone has none, the one with the
// highest hash of both names. A node that comes or goes moves only its own
// share of the machines.
func AgentOf(machine, zone string, nodes []*wirepb.NodeEntry) string {
	best, bestScore, bestLocal := "", uint64(0), false
	for _, node := range nodes {
		if node.GetDraining() {
			continue
		}
		local := node.GetZone() == zone
		score := xxhash.Sum64String(machine + "\x00" + node.GetName())
		better := best == "" || local && !bestLocal || local == bestLocal && score > bestScore
		if better {
			best, bestScore, bestLocal = node.GetName(), score, local
		}
	}
	return best
}
