package agent

import (
	"fmt"
	"testing"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

func nodesOf(zones, each int) []*wirepb.NodeEntry {
	var nodes []*wirepb.NodeEntry
	for zone := range zones {
		for number := range each {
			nodes = append(nodes, &wirepb.NodeEntry{Name: fmt.Sprintf("node-%d-%d", zone, number), Zone: fmt.Sprintf("zone-%d", zone)})
		}
	}
	return nodes
}

// TestAssignmentMovesOnlyTheShareOfALostNode also checks that machines stay
// in their zone as long as it has nodes.
func TestAssignmentMovesOnlyTheShareOfALostNode(t *testing.T) {
	nodes := nodesOf(3, 4)
	before, after := NewAssignment(nodes), NewAssignment(nodes[1:])
	lost := nodes[0].GetName()
	for number := range 300 {
		machine, zone := fmt.Sprintf("machine-%d", number), fmt.Sprintf("zone-%d", number%3)
		first, second := before.AgentOf(machine, zone), after.AgentOf(machine, zone)
		if first != lost && first != second {
			t.Errorf("%s moved from %s to %s, though %s was lost", machine, first, second, lost)
		}
		if first == lost && second == lost {
			t.Errorf("%s stays with the lost node", machine)
		}
		if !before.mayWatch(zone, zone) || before.mayWatch("zone-9", zone) {
			t.Errorf("%s may be watched over from the wrong zone", machine)
		}
	}
}

// TestZoneWithoutNodes has its machines watched over from elsewhere.
func TestZoneWithoutNodes(t *testing.T) {
	nodes := nodesOf(1, 2)
	nodes = append(nodes, &wirepb.NodeEntry{Name: "draining", Zone: "zone-1", Draining: true})
	assignment := NewAssignment(nodes)
	if agent := assignment.AgentOf("machine", "zone-1"); agent == "" || agent == "draining" {
		t.Errorf("watched over by %q", agent)
	}
	if !assignment.mayWatch("zone-0", "zone-1") {
		t.Error("nobody may watch over a zone without nodes")
	}
}
