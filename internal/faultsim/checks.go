package faultsim

import (
	"bytes"
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cespare/xxhash/v2"

	"github.com/weldline/weldline/api/engine"
	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/member"
	"github.com/weldline/weldline/internal/quarantine"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// The checks, by the name under which violations are counted.
const (
	// CheckLog: every control node applies the same entry at each index.
	CheckLog = "log_agreement"
	// CheckTermLeader: a term has at most one leader.
	CheckTermLeader = "leader_per_term"
	// CheckLease: at most one control node holds a lease at any moment.
	CheckLease = "single_lease"
	// CheckStart: a control node can always start from its disk.
	CheckStart = "start_from_disk"
	// CheckDurable: an acknowledged write stays.
	CheckDurable = "acknowledged_writes"
	// CheckResend: a resent request gets its first result.
	CheckResend = "resent_requests"
	// CheckLinearizable: the resource API is linearizable.
	CheckLinearizable = "linearizable_api"
	// CheckUnassigned: engines hold decided replicas only.
	CheckUnassigned = "replicas_over_decided"
	// CheckMemory: no order meets an engine without memory for it.
	CheckMemory = "memory_overcommits"
	// CheckRevert: no node's configuration goes back.
	CheckRevert = "configuration_reverts"
	// CheckPropagation: in calm, a change is in force everywhere within 3 s.
	CheckPropagation = "configuration_late"
	// CheckStaleStart: a started node serves no configuration from before its start.
	CheckStaleStart = "stale_start"
	// CheckDropped: each request ends in time with an outcome.
	CheckDropped = "dropped"
	// CheckWrongAnswer: answers belong to their requests.
	CheckWrongAnswer = "wrong_answers"
	// CheckAtMostOnce: an unrepeatable request runs at most once.
	CheckAtMostOnce = "duplicate_runs"
	// CheckNotRun: what was told to be not run never runs.
	CheckNotRun = "false_not_run"
	// CheckLeaving: a leaving machine gets no new work after a few seconds.
	CheckLeaving = "late_work_to_leaving"
	// CheckSpec: what engines, claims and voters did is a behaviour of the
	// specification in internal/spec.
	CheckSpec = "specification"
	// CheckCrashRepeats: a request under which three engines ended is sent on three times more at
	// most, 3 s later, by routers in contact.
	CheckCrashRepeats = "crash_repeats"
	// CheckQuarantine: only requests under which engines ended are convicted, and stay so until
	// they run to their end.
	CheckQuarantine = "convictions"
	// CheckDrains: an acknowledged drain of a zone, or its end, stays until the next order; while
	// it is drained, routers in contact send nothing there.
	CheckDrains = "zone_drains"
	// CheckBackoff: an engine that asked a router for a rest gets two requests from it at most until it is over.
	CheckBackoff = "engine_rests"
	// CheckLimits: an engine that states a limit gets no more than that from all routers in contact together.
	CheckLimits = "engine_limits"
	// CheckConvergence: after everything healed, all agree and nothing is stuck.
	CheckConvergence = "convergence"
)

// Checks lists all checks.
var Checks = []string{
	CheckLog, CheckTermLeader, CheckLease, CheckStart, CheckDurable, CheckResend, CheckLinearizable, CheckUnassigned,
	CheckMemory, CheckRevert, CheckPropagation, CheckStaleStart, CheckDropped, CheckWrongAnswer, CheckAtMostOnce, CheckNotRun,
	CheckLeaving, CheckSpec, CheckCrashRepeats, CheckQuarantine, CheckDrains, CheckBackoff, CheckLimits, CheckConvergence,
}

const (
	// leavingGrace is how long after the list a leaving machine may get work.
	leavingGrace = 5 * time.Second
	// contact is how old a router's newest digest may be for it to count as
	// in contact with a leader.
	contact = 2 * time.Second
)

// checks sees everything that happens.
type checks struct {
	world *world
	// truth is the state after the longest committed log seen, and entries
	// the fingerprint of each of its entries.
	truth   *state.Machine
	entries []uint64
	leaders map[uint64]uint64
	// contents fingerprints every object version ever committed.
	contents map[state.Key]map[uint64]uint64
	results  map[string]*wirepb.CommandResult
	verdicts map[string]verdict
	runs     map[string]int
	holds    int
	// violations are the first details of each check that failed.
	violations map[string][]string
	// quietSince is when the last fault healed; busy counts active faults.
	quietSince time.Duration
	busy       int
	undecided  int
	conforms   conformance
	// crashes is what really happened under requests, and culprits those that end engines.
	crashes  map[quarantine.Identity]*crashTruth
	culprits []*content
	// innocentsRefused counts the sends of other requests that were refused as quarantined.
	innocentsRefused int
	// drains is what the operator was told of each zone.
	drains map[string]drainTruth
	// rests are what engines asked routers for.
	rests map[restKey][]*restSpan
}

func newChecks(w *world) *checks {
	return &checks{
		world: w, truth: state.New(), leaders: map[uint64]uint64{}, contents: map[state.Key]map[uint64]uint64{},
		results: map[string]*wirepb.CommandResult{}, verdicts: map[string]verdict{}, runs: map[string]int{},
		violations: map[string][]string{}, conforms: newConformance(), crashes: map[quarantine.Identity]*crashTruth{},
		drains: map[string]drainTruth{}, rests: map[restKey][]*restSpan{},
	}
}

func (c *checks) violate(check, format string, arguments ...any) {
	detail := fmt.Sprintf("at %s: ", c.world.Now()) + fmt.Sprintf(format, arguments...)
	c.violations[check] = append(c.violations[check], detail)
}

// applied compares what a control node applied with what the first one did.
func (c *checks) applied(node *controlNode, output member.Output) {
	for _, entry := range output.Applied {
		mark := fingerprint(entry.Entry)
		position := entry.Index - 1
		if position < uint64(len(c.entries)) {
			if c.entries[position] != mark {
				c.violate(CheckLog, "%s applied another entry at %d", node.name, entry.Index)
			}
			continue
		}
		if position > uint64(len(c.entries)) {
			c.violate(CheckLog, "%s applied %d before %d was seen", node.name, entry.Index, len(c.entries)+1)
			return
		}
		c.entries = append(c.entries, mark)
		c.commit(entry.Entry)
	}
}

func fingerprint(entry *wirepb.Entry) uint64 {
	digest := xxhash.New()
	fmt.Fprintf(digest, "%d/%d/", entry.GetTerm(), entry.GetKind())
	_, _ = digest.Write(entry.GetData())
	return digest.Sum64()
}

// commit applies an entry to the truth.
func (c *checks) commit(entry *wirepb.Entry) {
	if entry.GetKind() != wirepb.EntryKind_ENTRY_KIND_COMMAND {
		return
	}
	before := c.truth.Revision()
	suspects := c.suspectSpecs()
	result := c.truth.Apply(entry.GetData())
	c.compareClaims(entry, result)
	events, err := c.truth.EventsAfter(before)
	if err != nil {
		return
	}
	for _, event := range events {
		key := state.KeyOf(event.GetObject())
		if c.contents[key] == nil {
			c.contents[key] = map[uint64]uint64{}
		}
		c.contents[key][event.GetObject().GetRevision()] = xxhash.Sum64(event.GetObject().GetSpec())
		if key.Kind == v1.KindReplica && event.GetDeleted() {
			c.replicaFreed(key.Name)
		}
		if key.Kind == v1.KindSuspect {
			c.suspectChanged(event, suspects[key.Name])
		}
	}
}

// replicaFreed checks that no engine still holds what was freed.
func (c *checks) replicaFreed(name string) {
	for _, machine := range c.world.machines {
		if held := machine.engine.Replica(name); machine.up && held != nil && held.Phase != engine.PhaseFailed {
			c.violate(CheckUnassigned, "%s still holds %s, whose reservation was freed", machine.name, name)
		}
	}
}

// engineHolds checks an engine's replicas against what was decided.
func (c *checks) engineHolds(m *machine) {
	for _, held := range m.engine.Replicas() {
		spec, decided := c.truth.Spec(v1.KindReplica, held.Order.Replica).(*v1.ReplicaSpec)
		if held.Phase == engine.PhaseFailed {
			continue
		}
		if !decided || spec.Machine != m.name || spec.Incarnation != m.incarnation {
			c.violate(CheckUnassigned, "%s holds %s, which nobody decided there", m.name, held.Order.Replica)
		}
	}
	for accelerator, used := range m.engine.UsedBytes() {
		if used > acceleratorBytes {
			c.violate(CheckMemory, "%s uses %d bytes of accelerator %d", m.name, used, accelerator)
		}
	}
}

// lookAround checks what concerns several processes at once.
func (c *checks) lookAround() {
	c.drainsHold()
	var holder *controlNode
	for _, node := range c.world.controls {
		if !node.leads() {
			continue
		}
		term := node.term()
		if c.leaders[term] != 0 && c.leaders[term] != node.id {
			c.violate(CheckTermLeader, "%s leads in term %d, as did %d", node.name, term, c.leaders[term])
		}
		c.leaders[term] = node.id
		if holder != nil {
			c.violate(CheckLease, "%s and %s hold a lease", holder.name, node.name)
		}
		holder = node
	}
}

// acknowledged checks an answer to an operator against the log and against
// earlier answers to the same request.
func (c *checks) acknowledged(command *wirepb.Command, result *wirepb.CommandResult) {
	earlier := c.results[command.GetRequestId()]
	if earlier != nil && (earlier.GetCode() != result.GetCode() || earlier.GetWrite().GetRevision() != result.GetWrite().GetRevision()) {
		c.violate(CheckResend, "%s got revision %d, then %d", command.GetRequestId(),
			earlier.GetWrite().GetRevision(), result.GetWrite().GetRevision())
	}
	c.results[command.GetRequestId()] = result
	if result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK {
		return
	}
	for _, object := range result.GetWrite().GetObjects() {
		if _, known := c.contents[state.KeyOf(object)][object.GetRevision()]; !known {
			c.violate(CheckDurable, "%s %s was acknowledged at revision %d, which never was",
				object.GetKind(), object.GetName(), object.GetRevision())
		}
	}
	if earlier == nil {
		c.expectInForce(result.GetWrite().GetRevision())
	}
}

// expectInForce checks after the time allowed, if it was calm all along.
func (c *checks) expectInForce(revision uint64) {
	accepted := c.world.Now()
	c.world.After(inForceWithin, func() {
		if c.busy > 0 || c.quietSince+inForceWithin > accepted {
			return
		}
		for _, router := range c.world.routers {
			if router.up && router.startedAt < accepted && router.view.Revision() < revision {
				c.violate(CheckPropagation, "%s is at revision %d, %d was accepted 3 s ago", router.name, router.view.Revision(), revision)
			}
		}
	})
}

// viewChanged checks a node's configuration against all that was committed.
func (c *checks) viewChanged(router *routerNode) {
	if revision := router.view.Revision(); revision < router.seenRevision {
		c.violate(CheckRevert, "%s went from revision %d to %d", router.name, router.seenRevision, revision)
	} else {
		router.seenRevision = revision
	}
	router.view.Each(func(object *wirepb.Object) {
		mark, known := c.contents[state.KeyOf(object)][object.GetRevision()]
		if !known || mark != xxhash.Sum64(object.GetSpec()) {
			c.violate(CheckRevert, "%s holds a %s %s that was never committed", router.name, object.GetKind(), object.GetName())
		}
	})
}

func (c *checks) becameCurrent(router *routerNode) {
	if router.view.Revision() < router.startedFrom {
		c.violate(CheckStaleStart, "%s serves revision %d, %d was committed before it started",
			router.name, router.view.Revision(), router.startedFrom)
	}
}

// ran notes that a request runs, on an engine or at the ledger.
func (c *checks) ran(id string, m *machine, router *routerNode) {
	c.runs[id]++
	if c.verdicts[id] == verdictNotRun {
		c.violate(CheckNotRun, "%s runs after it was told not to have run", id)
	}
	if m != nil {
		c.ranInZone(m, router)
	}
	if m == nil || m.leavingSince == 0 {
		return
	}
	inContact := c.world.Now()-router.lastDigest < contact
	if inContact && c.world.Now()-m.leavingSince > leavingGrace && c.world.Now()-c.quietSince > leavingGrace && c.busy == 0 {
		c.violate(CheckLeaving, "%s got work %s after it began to leave", m.name, c.world.Now()-m.leavingSince)
	}
}

// told notes what a caller was told.
func (c *checks) told(id string, result verdict) {
	if earlier, ended := c.verdicts[id]; ended {
		c.violate(CheckWrongAnswer, "%s was told %s, then %s", id, earlier, result)
	}
	c.verdicts[id] = result
	if result == verdictNotRun && c.runs[id] > 0 {
		c.violate(CheckNotRun, "%s ran and was told not to have", id)
	}
}

func (c *checks) held(key string, owners []string) {
	if len(owners) > 1 {
		c.violate(CheckAtMostOnce, "%s was placed by %v", key, owners)
	}
}

// agreed reports whether every control node has applied the same.
func (c *checks) agreed() bool {
	for _, node := range c.world.controls {
		if node.up && node.member.Raft.Status().Applied != uint64(len(c.entries)) {
			return false
		}
	}
	return true
}

// finish checks that everything came to rest.
func (c *checks) finish() {
	switch c.world.register.linearizable() {
	case porcupine.Illegal:
		c.violate(CheckLinearizable, "no order explains the answers about the contended object")
	case porcupine.Unknown:
		c.undecided++
	}
	if !c.world.hasQuorum() {
		return // Too many were lost for good: nothing can be decided.
	}
	if c.world.leader() == nil {
		c.violate(CheckConvergence, "there is no leader")
	}
	wanted, _ := c.truth.Snapshot()
	for _, node := range c.world.controls {
		if !node.up {
			continue
		}
		if held, _ := node.member.State.Snapshot(); !bytes.Equal(held, wanted) {
			c.violate(CheckConvergence, "%s is at revision %d, not %d, or differs", node.name, node.member.State.Revision(), c.truth.Revision())
		}
	}
	c.finishRouters()
	c.finishMachines()
	if _, open := c.truth.ClaimCounts(); open > 0 {
		c.violate(CheckConvergence, "%d claims are open", open)
	}
}

func (c *checks) finishRouters() {
	for _, router := range c.world.routers {
		if !router.view.Current() || router.view.Revision() != c.truth.Revision() {
			c.violate(CheckConvergence, "%s is at revision %d, not %d", router.name, router.view.Revision(), c.truth.Revision())
		}
		if waiting := router.core.Waiting(); waiting > 0 {
			c.violate(CheckConvergence, "%d requests wait at %s", waiting, router.name)
		}
	}
}

func (c *checks) finishMachines() {
	for _, m := range c.world.machines {
		c.engineHolds(m)
	}
	c.truth.Each(func(object *wirepb.Object, spec v1.Spec) {
		replica, isReplica := spec.(*v1.ReplicaSpec)
		if !isReplica {
			return
		}
		m := c.world.machineNamed(replica.Machine)
		held := m.engine.Replica(object.GetName())
		if replica.Phase != v1.ReplicaReady || held == nil || held.Phase != engine.PhaseReady {
			c.violate(CheckConvergence, "replica %s is %s long after the last request", object.GetName(), replica.Phase)
		}
	})
}
