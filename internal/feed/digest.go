package feed

import (
	"slices"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// IsNewerDigest reports whether a digest is to replace the held one, which may be
// nil. Order is by term, then sequence, so that a deposed leader's late digest
// changes nothing.
func IsNewerDigest(digest, held *wirepb.ClusterDigest) bool {
	if held == nil || digest.GetTerm() != held.GetTerm() {
		return held == nil || digest.GetTerm() > held.GetTerm()
	}
	return digest.GetSequence() > held.GetSequence()
}

// DigestSender leaves the roster out of digests for as long as the receiver
// has it. It belongs to one connection.
type DigestSender struct {
	last *wirepb.ClusterDigest
	// appends is set where the receiver takes what is new in a roster without the rest.
	appends bool
}

// Envelope returns a digest as it is sent next.
func (s *DigestSender) Envelope(digest *wirepb.ClusterDigest) *wirepb.Envelope {
	sent := digest
	switch {
	case s.last == nil:
	case sameRoster(s.last, digest):
		sent = withRoster(digest, nil)
	case s.appends && s.last.GetTerm() == digest.GetTerm() && extends(digest.GetRoster(), s.last.GetRoster()):
		sent = withRoster(digest, nil)
		sent.AppendedMachines = digest.GetRoster().GetMachines()[len(s.last.GetRoster().GetMachines()):]
		sent.RosterBase = s.last.GetRosterSequence()
	}
	s.last = digest
	return &wirepb.Envelope{Body: &wirepb.Envelope_ClusterDigest{ClusterDigest: sent}}
}

// DigestReceiver completes digests whose roster was left out. It belongs to
// one connection.
type DigestReceiver struct {
	last *wirepb.ClusterDigest
}

// Complete returns the digest with its roster, or nil if that never came.
func (r *DigestReceiver) Complete(digest *wirepb.ClusterDigest) *wirepb.ClusterDigest {
	if len(digest.GetAppendedMachines()) > 0 {
		completed := r.appended(digest)
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

// appended returns a digest with the roster that it extends, or nil where that is not the one held.
func (r *DigestReceiver) appended(digest *wirepb.ClusterDigest) *wirepb.ClusterDigest {
	if r.last == nil || r.last.GetTerm() != digest.GetTerm() || r.last.GetRosterSequence() != digest.GetRosterBase() {
		return nil
	}
	held := r.last.GetRoster()
	return withRoster(digest, &wirepb.Roster{
		Nodes: held.GetNodes(), Control: held.GetControl(), ControlZones: held.GetControlZones(),
		Machines: slices.Concat(held.GetMachines(), digest.GetAppendedMachines()),
	})
}

// extends reports whether a roster is another with machines behind those of it.
func extends(roster, before *wirepb.Roster) bool {
	held := len(before.GetMachines())
	return held < len(roster.GetMachines()) && slices.Equal(roster.GetMachines()[:held], before.GetMachines()) &&
		slices.Equal(roster.GetControl(), before.GetControl()) && slices.Equal(roster.GetControlZones(), before.GetControlZones()) &&
		len(roster.GetNodes()) == 0 && len(before.GetNodes()) == 0
}

func sameRoster(left, right *wirepb.ClusterDigest) bool {
	return left.GetTerm() == right.GetTerm() && left.GetRosterSequence() == right.GetRosterSequence()
}

// withRoster copies a digest, whose parts are shared and must not be changed.
func withRoster(digest *wirepb.ClusterDigest, roster *wirepb.Roster) *wirepb.ClusterDigest {
	return &wirepb.ClusterDigest{
		Term: digest.GetTerm(), Sequence: digest.GetSequence(), Leader: digest.GetLeader(), Routers: digest.GetRouters(),
		Estimates: digest.GetEstimates(), Revision: digest.GetRevision(), RosterSequence: digest.GetRosterSequence(),
		Roster: roster, MachineLoads: digest.GetMachineLoads(), MachineWork: digest.GetMachineWork(),
		History: digest.GetHistory(), MachineAnswers: digest.GetMachineAnswers(), MachineErrors: digest.GetMachineErrors(),
		Tenants: digest.GetTenants(), TenantsKnown: digest.GetTenantsKnown(), MachineWarming: digest.GetMachineWarming(),
		Limits: digest.GetLimits(),
	}
}

// WithoutHistory returns a digest as it goes to nodes that never lead.
func WithoutHistory(digest *wirepb.ClusterDigest) *wirepb.ClusterDigest {
	if len(digest.GetHistory()) == 0 {
		return digest
	}
	stripped := withRoster(digest, digest.GetRoster())
	stripped.History = nil
	return stripped
}
