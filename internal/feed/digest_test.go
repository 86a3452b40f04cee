package feed

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

func digestOf(term, sequence, rosterSequence uint64) *wirepb.ClusterDigest {
	return &wirepb.ClusterDigest{
		Term: term, Sequence: sequence, RosterSequence: rosterSequence, MachineLoads: []byte{byte(sequence)}, MachineWarming: []byte{byte(sequence), 9},
		Roster:  &wirepb.Roster{Machines: []string{"machine-0"}, Nodes: []*wirepb.NodeEntry{{Name: "node"}}},
		Tenants: []*wirepb.TenantAllowance{{Tenant: "t", Offered: 3, Admit: 0.5}}, TenantsKnown: true,
		History: []*wirepb.DemandHistory{{Version: "v", Rate: 1200, IdleMs: 40}},
	}
}

// TestRosterIsSentOnlyWhenChanged checks on two connections that receivers get complete digests
// although the roster is sent only when it changes.
func TestRosterIsSentOnlyWhenChanged(t *testing.T) {
	sent := []*wirepb.ClusterDigest{
		digestOf(1, 1, 1), digestOf(1, 2, 1), digestOf(1, 3, 3), digestOf(2, 1, 1), digestOf(2, 2, 1),
	}
	hasRoster := []bool{true, false, true, true, false}
	for connection := range 2 {
		sender, receiver := &DigestSender{}, &DigestReceiver{}
		for position, digest := range sent {
			message := sender.Envelope(digest).GetClusterDigest()
			if (message.GetRoster() != nil) != hasRoster[position] {
				t.Errorf("connection %d, digest %d: roster sent: %t", connection, position, message.GetRoster() != nil)
			}
			if complete := receiver.Complete(message); !proto.Equal(complete, digest) {
				t.Errorf("connection %d, digest %d arrived as %v", connection, position, complete)
			}
		}
	}
}

func TestDigestReceiverRejectsUnknownRoster(t *testing.T) {
	receiver := &DigestReceiver{}
	if receiver.Complete(withRoster(digestOf(1, 2, 1), nil)) != nil {
		t.Error("a digest without a known roster was accepted")
	}
	receiver.Complete(digestOf(1, 2, 1))
	if receiver.Complete(withRoster(digestOf(2, 1, 1), nil)) != nil {
		t.Error("a digest was completed with the roster of another term")
	}
}

func TestIsNewerDigest(t *testing.T) {
	order := []*wirepb.ClusterDigest{nil, digestOf(1, 5, 1), digestOf(1, 6, 1), digestOf(2, 1, 1)}
	for currentIndex, current := range order {
		for index, digest := range order[1:] {
			if IsNewerDigest(digest, current) != (index+1 > currentIndex) {
				t.Errorf("wrong order of digests %d and %d", index+1, currentIndex)
			}
		}
	}
}

func TestWithoutHistory(t *testing.T) {
	full := digestOf(3, 4, 2)
	stripped := WithoutHistory(full)
	if len(stripped.GetHistory()) != 0 || len(full.GetHistory()) != 1 {
		t.Errorf("full digest %v, stripped digest %v", full, stripped)
	}
	full.History = nil
	if !proto.Equal(full, stripped) {
		t.Errorf("digests differ in more than the history: %v, %v", full, stripped)
	}
}
