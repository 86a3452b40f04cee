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

// TestRosterIsSentOnceAndNeverMissed sends digests over two connections: each
// receiver sees the whole digest, and the roster travels only when it is new.
func TestRosterIsSentOnceAndNeverMissed(t *testing.T) {
	sent := []*wirepb.ClusterDigest{
		digestOf(1, 1, 1), digestOf(1, 2, 1), digestOf(1, 3, 3), digestOf(2, 1, 1), digestOf(2, 2, 1),
	}
	travels := []bool{true, false, true, true, false}
	for connection := range 2 {
		sender, receiver := &DigestSender{}, &DigestReceiver{}
		for position, digest := range sent {
			message := sender.Envelope(digest).GetClusterDigest()
			if (message.GetRoster() != nil) != travels[position] {
				t.Errorf("connection %d, digest %d: roster travels: %t", connection, position, message.GetRoster() != nil)
			}
			if complete := receiver.Complete(message); !proto.Equal(complete, digest) {
				t.Errorf("connection %d, digest %d arrived as %v", connection, position, complete)
			}
		}
	}
}

// TestDigestWithoutItsRosterIsRefused covers a sender that is out of step.
func TestDigestWithoutItsRosterIsRefused(t *testing.T) {
	receiver := &DigestReceiver{}
	if receiver.Complete(withRoster(digestOf(1, 2, 1), nil)) != nil {
		t.Error("a digest without any roster was taken")
	}
	receiver.Complete(digestOf(1, 2, 1))
	if receiver.Complete(withRoster(digestOf(2, 1, 1), nil)) != nil {
		t.Error("a digest was completed with another term's roster")
	}
}

func TestIsNewerDigest(t *testing.T) {
	order := []*wirepb.ClusterDigest{nil, digestOf(1, 5, 1), digestOf(1, 6, 1), digestOf(2, 1, 1)}
	for older, held := range order {
		for position, digest := range order[1:] {
			if IsNewerDigest(digest, held) != (position+1 > older) {
				t.Errorf("digest %d over %d", position+1, older)
			}
		}
	}
}

// TestHistoryStaysAmongControlNodes covers digests as routers get them.
func TestHistoryStaysAmongControlNodes(t *testing.T) {
	full := digestOf(3, 4, 2)
	stripped := WithoutHistory(full)
	if len(stripped.GetHistory()) != 0 || len(full.GetHistory()) != 1 {
		t.Errorf("with history %v, without %v", full, stripped)
	}
	full.History = nil
	if !proto.Equal(full, stripped) {
		t.Errorf("the rest differs: %v, %v", full, stripped)
	}
}
