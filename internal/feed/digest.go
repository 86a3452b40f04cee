package feed

import "github.com/weldline/weldline/internal/wire/wirepb"

// Newer reports whether a digest is to replace the held one, which may be
// nil. Order is by term, then sequence, so that a deposed leader's late digest
// changes nothing.
func Newer(digest, held *wirepb.ClusterDigest) bool {
	if held == nil || digest.GetTerm() != held.GetTerm() {
		return held == nil || digest.GetTerm() > held.GetTerm()
	}
	return digest.GetSequence() > held.GetSequence()
}

// DigestSender leaves the roster out of digests for as long as the receiver
// has it. It belongs to one connection.
type DigestSender struct {
	last *wirepb.ClusterDigest
}

// Envelope returns a digest as it is sent next.
func (s *DigestSender) Envelope(digest *wirepb.ClusterDigest) *wirepb.Envelope {
	sent := digest
	if s.last != nil && sameRoster(s.last, digest) {
		sent = withRoster(digest, nil)
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
	if digest.GetRoster() == nil {
		if r.last == nil || !sameRoster(r.last, digest) {
			return nil
		}
		digest = withRoster(digest, r.last.GetRoster())
	}
	r.last = digest
	return digest
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
