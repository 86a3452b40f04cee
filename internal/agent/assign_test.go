package agent

import (
	"fmt"
	"testing"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

func makeNodes(zones, nodesPerZone int) []*wirepb.NodeEntry {
	var nodes []*wirepb.NodeEntry
	for zone := range zones {
		for number := range nodesPerZone {
			nodes = append(nodes, &wirepb.NodeEntry{Name: fmt.Sprintf("node-%d-%d", zone, number), Zone: fmt.Sprintf("zone-%d", zone)})
		}
	}
	return nodes
}

// TestAssignmentMovesOnlyMachinesOfLostNode checks that losing a node reassigns
// only its own machines, and that machines stay in a zone that has nodes.
func TestAssignmentMovesOnlyMachinesOfLostNode(t *testing.T) {
	nodes := makeNodes(3, 4)
	before, after := NewAssignment(nodes), NewAssignment(nodes[1:])
	lost := nodes[0].GetName()
	for number := range 300 {
		machine, zone := fmt.Sprintf("machine-%d", number), fmt.Sprintf("zone-%d", number%3)
		previous, current := before.AgentOf(machine, zone), after.AgentOf(machine, zone)
		if previous != lost && previous != current {
			t.Errorf("%s moved from %s to %s when only %s was lost", machine, previous, current, lost)
		}
		if previous == lost && current == lost {
			t.Errorf("%s is still assigned to the lost node", machine)
		}
		if !before.mayManage(zone, zone) || before.mayManage("zone-9", zone) {
			t.Errorf("%s: mayManage is wrong for its own zone or for another", machine)
		}
	}
}

// TestAssignmentOfZoneWithoutNodes checks that machines in a zone without live
// nodes are assigned to a node of another zone.
func TestAssignmentOfZoneWithoutNodes(t *testing.T) {
	nodes := makeNodes(1, 2)
	nodes = append(nodes, &wirepb.NodeEntry{Name: "draining", Zone: "zone-1", Draining: true})
	assignment := NewAssignment(nodes)
	if agent := assignment.AgentOf("machine", "zone-1"); agent == "" || agent == "draining" {
		t.Errorf("assigned to %q", agent)
	}
	if !assignment.mayManage("zone-0", "zone-1") {
		t.Error("a zone without nodes can't be managed from another zone")
	}
}
