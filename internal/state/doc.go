// Package state is the replicated state machine of the control plane: API objects, claims of
// non-idempotent requests, results of API requests, and the cluster's level.
//
// Apply is deterministic. It reads no clock (commands carry the proposer's) and draws no random
// numbers, so all members that apply the same log hold the same state. A conditional write
// succeeds only if its expected revision is the object's current one.
package state
