package controller

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/weldline/weldline/internal/raft"
)

// Each line of input describes a member: ID, "voter" or "learner", seconds of silence, log entries
// behind.
func TestNextMembership(t *testing.T) {
	datadriven.RunTest(t, "testdata/membership", func(t *testing.T, d *datadriven.TestData) string {
		status := raft.Status{ID: 1, Last: 1000}
		peers := map[uint64]raft.PeerState{}
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			fields := strings.Fields(line)
			id := parseUint(t, fields[0])
			if fields[1] == "voter" {
				status.Voters = append(status.Voters, id)
			} else {
				status.Learners = append(status.Learners, id)
			}
			peers[id] = raft.PeerState{
				InactiveFor: time.Duration(parseUint(t, fields[2])) * time.Second, Match: status.Last - parseUint(t, fields[3]),
			}
		}
		next := NextMembership(status, peers, 3, 30*time.Second)
		if next == nil {
			return "no change\n"
		}
		return fmt.Sprintf("voters=%v learners=%v\n", next.GetVoters(), next.GetLearners())
	})
}

func parseUint(t *testing.T, text string) uint64 {
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return value
}
