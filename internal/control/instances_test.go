package control

import (
	"testing"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestLeaderAsksForWhatWasLeftOut: a machine turns to one follower, then to the other with other
// models, and back. The first follower leaves out what it has passed on, which the leader holds
// no more.
func TestLeaderAsksForWhatWasLeftOut(t *testing.T) {
	cluster := startTrio(t)
	leader, first := cluster.leaderAndFollower()
	second := 3 - leader - first
	cluster.eventually("the second follower in step", func() bool {
		return cluster.nodes[second].Revision() >= cluster.nodes[leader].Revision()
	})
	sequence := uint64(0)
	tell := func(position int, model string) {
		t.Helper()
		held := func() bool {
			report := cluster.nodes[leader].instances.Entries()["m"].Report
			return report.GetSequence() == sequence && len(report.GetModels()) == 1 && report.GetModels()[0].GetModel() == model
		}
		sequence++
		report := &wirepb.InstanceReport{Machine: "m", Sequence: sequence, Models: []*wirepb.LoadedModel{{Model: model}}}
		if err := cluster.nodes[position].Heartbeat(t.Context(), report); err != nil {
			t.Fatal(err)
		}
		cluster.eventually("what the machine said at the leader", held)
	}
	tell(first, "a")
	tell(first, "a")
	tell(second, "b")
	tell(first, "a")
	tell(second, "b")
	tell(leader, "c")
	tell(second, "b")
}
