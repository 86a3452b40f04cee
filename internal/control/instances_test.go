package control

import (
	"testing"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestLeaderRequestsOmittedContent checks that a report reaches the leader in full if a follower
// omits content that another follower's report has replaced on the leader.
func TestLeaderRequestsOmittedContent(t *testing.T) {
	cluster := startCluster(t)
	leader, first := cluster.leaderAndFollower()
	second := 3 - leader - first
	cluster.eventually("the second follower has caught up", func() bool {
		return cluster.nodes[second].Revision() >= cluster.nodes[leader].Revision()
	})
	sequence := uint64(0)
	send := func(position int, model string) {
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
		cluster.eventually("the leader has the report", held)
	}
	send(first, "a")
	send(first, "a")
	send(second, "b")
	send(first, "a")
	send(second, "b")
	send(leader, "c")
	send(second, "b")
}
