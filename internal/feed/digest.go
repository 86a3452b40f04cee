package feed

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// IsNewerDigest reports whether a digest supersedes the current one, which may be nil. Digests are
// ordered by term and sequence, so that late digests of a former leader are ignored.
func IsNewerDigest(digest, current *wirepb.ClusterDigest) bool {
	if current == nil || digest.GetTerm() != current.GetTerm() {
		return current == nil || digest.GetTerm() > current.GetTerm()
	}
	return digest.GetSequence() > current.GetSequence()
}

// DigestSender omits the roster from digests while the receiver already has it. It belongs to one
// connection.
type DigestSender struct {
	last *wirepb.ClusterDigest
	// appendsMachines enables sending only the machines that were appended to the last roster.
	appendsMachines bool
}

// Envelope returns the message to send for a digest.
func (s *DigestSender) Envelope(digest *wirepb.ClusterDigest) *wirepb.Envelope {
	sent := digest
	switch {
	case s.last == nil:
	case sameRoster(s.last, digest):
		sent = withRoster(digest, nil)
	case s.appendsMachines && s.last.GetTerm() == digest.GetTerm() && extendsRoster(digest.GetRoster(), s.last.GetRoster()):
		sent = withRoster(digest, nil)
		sent.AppendedMachines = digest.GetRoster().GetMachines()[len(s.last.GetRoster().GetMachines()):]
		sent.RosterBase = s.last.GetRosterSequence()
	}
	s.last = digest
	return &wirepb.Envelope{Body: &wirepb.Envelope_ClusterDigest{ClusterDigest: sent}}
}

// DigestReceiver restores the rosters that a DigestSender omitted. It belongs to one connection.
type DigestReceiver struct {
	last *wirepb.ClusterDigest
}

// Complete returns the digest with its roster, or nil if the roster is unknown.
func (r *DigestReceiver) Complete(digest *wirepb.ClusterDigest) *wirepb.ClusterDigest {
	if len(digest.GetAppendedMachines()) > 0 {
		completed := r.withAppendedMachines(digest)
		if completed != nil {
			r.last = completed
		}
		return completed
	}
	if digest.GetRoster() == nil {
		if r.last == nil || !sameRoster(r.last, digest) {
			return nil
		}
		digest = withRoster(digest, r.last.GetRoster())
	}
	r.last = digest
	return digest
}

// withAppendedMachines returns the digest with the roster it extends, or nil if that roster is not the
// last one received.
func (r *DigestReceiver) withAppendedMachines(digest *wirepb.ClusterDigest) *wirepb.ClusterDigest {
	if r.last == nil || r.last.GetTerm() != digest.GetTerm() || r.last.GetRosterSequence() != digest.GetRosterBase() {
		return nil
	}
	previous := r.last.GetRoster()
	return withRoster(digest, &wirepb.Roster{
		Nodes: previous.GetNodes(), Control: previous.GetControl(), ControlZones: previous.GetControlZones(),
		Machines: slices.Concat(previous.GetMachines(), digest.GetAppendedMachines()), Routers: previous.GetRouters(),
		Keepers: previous.GetKeepers(),
	})
}

// extendsRoster reports whether a roster only appends machines to the previous one.
func extendsRoster(roster, previous *wirepb.Roster) bool {
	length := len(previous.GetMachines())
	return length < len(roster.GetMachines()) && slices.Equal(roster.GetMachines()[:length], previous.GetMachines()) &&
		slices.Equal(roster.GetControl(), previous.GetControl()) && slices.Equal(roster.GetControlZones(), previous.GetControlZones()) &&
		sameRouters(roster.GetRouters(), previous.GetRouters()) && sameRouters(roster.GetKeepers(), previous.GetKeepers()) && len(roster.GetNodes()) == 0 && len(previous.GetNodes()) == 0
}

func sameRouters(left, right []*wirepb.RouterEntry) bool {
	return slices.EqualFunc(left, right, func(one, other *wirepb.RouterEntry) bool { return proto.Equal(one, other) })
}

func sameRoster(left, right *wirepb.ClusterDigest) bool {
	return left.GetTerm() == right.GetTerm() && left.GetRosterSequence() == right.GetRosterSequence()
}

// withRoster returns a shallow copy of a digest with another roster. Digests are shared and must not
// be modified.
func withRoster(digest *wirepb.ClusterDigest, roster *wirepb.Roster) *wirepb.ClusterDigest {
	return &wirepb.ClusterDigest{
		Term: digest.GetTerm(), Sequence: digest.GetSequence(), Leader: digest.GetLeader(), Routers: digest.GetRouters(),
		Estimates: digest.GetEstimates(), Revision: digest.GetRevision(), RosterSequence: digest.GetRosterSequence(),
		Roster: roster, MachineLoads: digest.GetMachineLoads(), MachineWork: digest.GetMachineWork(),
		History: digest.GetHistory(), MachineAnswers: digest.GetMachineAnswers(), MachineErrors: digest.GetMachineErrors(),
		Tenants: digest.GetTenants(), TenantsKnown: digest.GetTenantsKnown(), MachineWarming: digest.GetMachineWarming(),
		Limits: digest.GetLimits(), Software: digest.GetSoftware(), SoftwareKnown: digest.GetSoftwareKnown(),
	}
}

// WithoutHistory returns a digest without the demand history, which only control nodes need.
func WithoutHistory(digest *wirepb.ClusterDigest) *wirepb.ClusterDigest {
	if len(digest.GetHistory()) == 0 {
		return digest
	}
	stripped := withRoster(digest, digest.GetRoster())
	stripped.History = nil
	return stripped
}
