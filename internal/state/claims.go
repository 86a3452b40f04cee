package state

import (
	"sort"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// ClaimGraceMillis is how long past its deadline an open claim waits for
	// its owner before it is closed as unknown.
	ClaimGraceMillis = 5_000
	// ClaimRetentionMillis is how long a closed claim answers resent requests.
	ClaimRetentionMillis = 10 * 60 * 1000
)

// claimTable holds the claims of unrepeatable requests.
//
// Invariant: of all attempts under one key at most one is ever granted at a
// time, and after a grant another follows only where the owner itself closed
// the earlier one as not run. So a request runs at most once, wherever it is
// resent, and a sweep never reopens a key: a frozen owner may still wake up.
type claimTable struct {
	records map[string]*wirepb.ClaimRecord
}

func newClaimTable() claimTable {
	return claimTable{records: map[string]*wirepb.ClaimRecord{}}
}

func (t *claimTable) apply(claim *wirepb.ClaimCommand, clock int64) *wirepb.ClaimResult {
	record := t.records[claim.GetKey()]
	if claim.GetOperation() == wirepb.ClaimCommand_OPERATION_OPEN {
		return t.open(record, claim)
	}
	return resolve(record, claim, clock)
}

func (t *claimTable) open(record *wirepb.ClaimRecord, claim *wirepb.ClaimCommand) *wirepb.ClaimResult {
	if record != nil {
		if record.GetFingerprint() != claim.GetFingerprint() {
			return &wirepb.ClaimResult{State: wirepb.ClaimState_CLAIM_STATE_MISMATCH}
		}
		// A proposal that is sent twice meets its own grant.
		sameOwner := record.GetOwner() == claim.GetOwner()
		if record.GetState() == wirepb.ClaimState_CLAIM_STATE_OPEN && sameOwner {
			return &wirepb.ClaimResult{State: wirepb.ClaimState_CLAIM_STATE_GRANTED}
		}
		if record.GetState() != wirepb.ClaimState_CLAIM_STATE_NOT_RUN || sameOwner {
			return &wirepb.ClaimResult{State: record.GetState(), Answer: record.GetAnswer()}
		}
	}
	t.records[claim.GetKey()] = &wirepb.ClaimRecord{
		Key: claim.GetKey(), Fingerprint: claim.GetFingerprint(), Owner: claim.GetOwner(),
		State: wirepb.ClaimState_CLAIM_STATE_OPEN, DeadlineUnixMs: claim.GetDeadlineUnixMs(),
	}
	return &wirepb.ClaimResult{State: wirepb.ClaimState_CLAIM_STATE_GRANTED}
}

// resolve closes a claim on behalf of its owner. A claim that was swept as
// unknown may still be completed: the owner learned the answer late.
func resolve(record *wirepb.ClaimRecord, claim *wirepb.ClaimCommand, clock int64) *wirepb.ClaimResult {
	if record == nil {
		return &wirepb.ClaimResult{State: wirepb.ClaimState_CLAIM_STATE_UNKNOWN}
	}
	owned := record.GetOwner() == claim.GetOwner()
	open := record.GetState() == wirepb.ClaimState_CLAIM_STATE_OPEN
	late := record.GetState() == wirepb.ClaimState_CLAIM_STATE_UNKNOWN &&
		claim.GetOperation() == wirepb.ClaimCommand_OPERATION_COMPLETE
	if owned && (open || late) {
		record.State = closedState(claim.GetOperation())
		record.Answer = claim.GetAnswer()
		record.ClosedUnixMs = clock
	}
	return &wirepb.ClaimResult{State: record.GetState(), Answer: record.GetAnswer()}
}

func closedState(operation wirepb.ClaimCommand_Operation) wirepb.ClaimState {
	switch operation {
	case wirepb.ClaimCommand_OPERATION_COMPLETE:
		return wirepb.ClaimState_CLAIM_STATE_COMPLETED
	case wirepb.ClaimCommand_OPERATION_NOT_RUN:
		return wirepb.ClaimState_CLAIM_STATE_NOT_RUN
	}
	return wirepb.ClaimState_CLAIM_STATE_UNKNOWN
}

// sweep closes abandoned claims and forgets old ones. It stands behind every
// owner's own resolution, so that no claim stays open for good.
func (t *claimTable) sweep(clock int64) {
	for key, record := range t.records {
		if record.GetState() == wirepb.ClaimState_CLAIM_STATE_OPEN {
			if clock > record.GetDeadlineUnixMs()+ClaimGraceMillis {
				record.State = wirepb.ClaimState_CLAIM_STATE_UNKNOWN
				record.ClosedUnixMs = clock
			}
			continue
		}
		if clock > record.GetClosedUnixMs()+ClaimRetentionMillis {
			delete(t.records, key)
		}
	}
}

func (t *claimTable) list() []*wirepb.ClaimRecord {
	listed := make([]*wirepb.ClaimRecord, 0, len(t.records))
	for _, record := range t.records {
		listed = append(listed, record)
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].GetKey() < listed[j].GetKey() })
	return listed
}

// ClaimCounts returns how many claims are held, and how many of them are open.
func (m *Machine) ClaimCounts() (held, open int) {
	for _, record := range m.claims.records {
		if record.GetState() == wirepb.ClaimState_CLAIM_STATE_OPEN {
			open++
		}
	}
	return len(m.claims.records), open
}
