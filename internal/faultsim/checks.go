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
	// CheckLog: all control nodes apply the same entry at each index.
	CheckLog = "log_agreement"
	// CheckTermLeader: a term has at most one leader.
	CheckTermLeader = "leader_per_term"
	// CheckLease: at most one control node holds a lease at any time.
	CheckLease = "single_lease"
	// CheckStart: a control node can always start from its disk.
	CheckStart = "start_from_disk"
	// CheckDurable: an acknowledged write is committed.
	CheckDurable = "acknowledged_writes"
	// CheckResend: a resent request gets the result of its first execution.
	CheckResend = "resent_requests"
	// CheckLinearizable: the resource API is linearizable.
	CheckLinearizable = "linearizable_api"
	// CheckUnassigned: engines hold only replicas that the leader has assigned to them.
	CheckUnassigned = "replicas_over_decided"
	// CheckMemory: no order exceeds the memory of its engine.
	CheckMemory = "memory_overcommits"
	// CheckRevert: a router's configuration never goes back to an earlier revision and holds only
	// committed objects.
	CheckRevert = "configuration_reverts"
	// CheckPropagation: without faults, a change reaches all routers within propagationTimeout.
	CheckPropagation = "configuration_late"
	// CheckStaleStart: a started router serves no configuration older than what was committed at its
	// start.
	CheckStaleStart = "stale_start"
	// CheckDropped: every request ends with an outcome in time.
	CheckDropped = "dropped"
	// CheckWrongAnswer: a request gets only one outcome, and a replayed response belongs to its request.
	CheckWrongAnswer = "wrong_answers"
	// CheckAtMostOnce: a non-idempotent request runs at most once.
	CheckAtMostOnce = "duplicate_runs"
	// CheckNotRun: a request reported as not run never runs.
	CheckNotRun = "false_not_run"
	// CheckLeaving: a leaving machine receives no new work after leavingGrace.
	CheckLeaving = "late_work_to_leaving"
	// CheckSpec: engines, claims and voters conform to the specification in internal/spec.
	CheckSpec = "specification"
	// CheckCrashRepeats: once a request has crashed crashThreshold engines, or requests with one prompt part
	// partCrashThreshold, and crashPropagationTime has passed, connected routers send it, or them, at most
	// maxLateSends times.
	CheckCrashRepeats = "crash_repeats"
	// CheckQuarantine: only requests that crashed engines are quarantined, and they stay quarantined
	// until they complete.
	CheckQuarantine = "convictions"
	// CheckCompanions: ordinary requests are served beside requests with a harmful prompt part.
	CheckCompanions = "crash_companions"
	// CheckDrains: an acknowledged drain or undrain of a zone persists until the next order, and
	// connected routers send nothing to a drained zone.
	CheckDrains = "zone_drains"
	// CheckBackoff: a router sends at most maxRequestsDuringBackoff requests to an engine that has
	// requested a backoff.
	CheckBackoff = "engine_rests"
	// CheckLimits: connected routers together stay within the limit that an engine advertises.
	CheckLimits = "engine_limits"
	// CheckConvergence: after all faults have healed, all nodes agree and nothing is stuck.
	CheckConvergence = "convergence"
	// CheckPaths: a router without paths to engines has its requests served by others.
	CheckPaths = "lost_paths"
	// CheckRetryBudget: all routers together stay within the retry budget in any window.
	CheckRetryBudget = "retry_budget"
)

// Checks lists all checks.
var Checks = []string{
	CheckLog, CheckTermLeader, CheckLease, CheckStart, CheckDurable, CheckResend, CheckLinearizable, CheckUnassigned,
	CheckMemory, CheckRevert, CheckPropagation, CheckStaleStart, CheckDropped, CheckWrongAnswer, CheckAtMostOnce, CheckNotRun,
	CheckLeaving, CheckSpec, CheckCrashRepeats, CheckQuarantine, CheckCompanions, CheckDrains, CheckBackoff, CheckLimits, CheckPaths, CheckRetryBudget, CheckConvergence,
}

const (
	// leavingGrace is the time after which a machine listed as leaving must receive no work.
	leavingGrace = 5 * time.Second
	// contactTimeout is the maximum age of a router's latest digest for the router to count as
	// connected to a leader.
	contactTimeout = 2 * time.Second
)

// checks observes all processes and records violations.
type checks struct {
	// retriesAt are the times of the retries in the last window.
	retriesAt []time.Duration
	sim       *simulation
	// reference is the state after the longest committed log observed; entryHashes holds the hash of
	// each of its entries.
	reference   *state.Machine
	entryHashes []uint64
	leaders     map[uint64]uint64
	// objectHashes holds the hash of every committed version of every object.
	objectHashes map[state.Key]map[uint64]uint64
	results      map[string]*wirepb.CommandResult
	outcomes     map[string]callerOutcome
	runCounts    map[string]int
	holdCount    int
	// violations holds the details of each failed check.
	violations map[string][]string
	// healedAt is when the last fault healed.
	healedAt     time.Duration
	activeFaults int
	undecided    int
	conformance  conformance
	crashes      map[quarantine.Identity]*crashRecord
	// poisons are the harmful requests and prompt parts.
	poisons []quarantine.Suspect
	// healthyRefused counts ordinary requests that were refused as quarantined.
	healthyRefused int
	// companions counts the ordinary requests beside harmful ones, and companionsRefused those of them that were
	// refused as quarantined.
	companions, companionsRefused int
	drains                        map[string]drainRecord
	backoffs                      map[backoffKey][]*backoffPeriod
	pathCuts                      []pathCut
	pathRequests                  []pathRequest
	// disruptions are the spans of all faults but those of control nodes and of paths.
	disruptions []interval
}

func newChecks(s *simulation) *checks {
	return &checks{
		sim: s, reference: state.New(), leaders: map[uint64]uint64{}, objectHashes: map[state.Key]map[uint64]uint64{},
		results: map[string]*wirepb.CommandResult{}, outcomes: map[string]callerOutcome{}, runCounts: map[string]int{},
		violations: map[string][]string{}, conformance: newConformance(), crashes: map[quarantine.Identity]*crashRecord{},
		drains: map[string]drainRecord{}, backoffs: map[backoffKey][]*backoffPeriod{},
	}
}

func (c *checks) violate(check, format string, arguments ...any) {
	detail := fmt.Sprintf("at %s: ", c.sim.Now()) + fmt.Sprintf(format, arguments...)
	c.violations[check] = append(c.violations[check], detail)
}

// checkApplied compares the entries that a control node applied with those that the first node applied
// at the same indexes.
func (c *checks) checkApplied(node *controlNode, output member.Output) {
	for _, entry := range output.Applied {
		hash := entryHash(entry.Entry)
		position := entry.Index - 1
		if position < uint64(len(c.entryHashes)) {
			if c.entryHashes[position] != hash {
				c.violate(CheckLog, "%s applied a different entry at index %d", node.name, entry.Index)
			}
			continue
		}
		if position > uint64(len(c.entryHashes)) {
			c.violate(CheckLog, "%s applied index %d before index %d was committed", node.name, entry.Index, len(c.entryHashes)+1)
			return
		}
		c.entryHashes = append(c.entryHashes, hash)
		c.applyToReference(entry.Entry)
	}
}

func entryHash(entry *wirepb.Entry) uint64 {
	digest := xxhash.New()
	fmt.Fprintf(digest, "%d/%d/", entry.GetTerm(), entry.GetKind())
	_, _ = digest.Write(entry.GetData())
	return digest.Sum64()
}

// applyToReference applies a committed entry to the reference state.
func (c *checks) applyToReference(entry *wirepb.Entry) {
	if entry.GetKind() != wirepb.EntryKind_ENTRY_KIND_COMMAND {
		return
	}
	before := c.reference.Revision()
	suspects := c.suspectSpecs()
	result := c.reference.Apply(entry.GetData())
	c.compareClaims(entry, result)
	events, err := c.reference.EventsAfter(before)
	if err != nil {
		return
	}
	for _, event := range events {
		key := state.KeyOf(event.GetObject())
		if c.objectHashes[key] == nil {
			c.objectHashes[key] = map[uint64]uint64{}
		}
		c.objectHashes[key][event.GetObject().GetRevision()] = xxhash.Sum64(event.GetObject().GetSpec())
		if key.Kind == v1.KindReplica && event.GetDeleted() {
			c.checkFreedReplica(key.Name)
		}
		if key.Kind == v1.KindSuspect {
			c.suspectChanged(event, suspects[key.Name])
		}
	}
}

// checkFreedReplica checks that no engine still holds a replica whose reservation was freed.
func (c *checks) checkFreedReplica(name string) {
	for _, machine := range c.sim.machines {
		if replica := machine.engine.Replica(name); machine.up && replica != nil && replica.Phase != engine.PhaseFailed {
			c.violate(CheckUnassigned, "%s still holds %s, whose reservation was freed", machine.name, name)
		}
	}
}

// checkEngine compares an engine's replicas with the committed decisions and checks its memory use.
func (c *checks) checkEngine(m *machine) {
	for _, replica := range m.engine.Replicas() {
		spec, decided := c.reference.Spec(v1.KindReplica, replica.Order.Replica).(*v1.ReplicaSpec)
		if replica.Phase == engine.PhaseFailed {
			continue
		}
		if !decided || spec.Machine != m.name || spec.Incarnation != m.incarnation {
			c.violate(CheckUnassigned, "%s holds %s, which is not assigned to it", m.name, replica.Order.Replica)
		}
	}
	for accelerator, used := range m.engine.UsedBytes() {
		if used > acceleratorBytes {
			c.violate(CheckMemory, "%s uses %d bytes of memory on accelerator %d", m.name, used, accelerator)
		}
	}
}

// checkCluster checks the invariants that concern several processes at once.
func (c *checks) checkCluster() {
	c.checkDrains()
	var holder *controlNode
	for _, node := range c.sim.controls {
		if !node.holdsLease() {
			continue
		}
		term := node.term()
		if c.leaders[term] != 0 && c.leaders[term] != node.id {
			c.violate(CheckTermLeader, "%s leads in term %d, which node %d has already led", node.name, term, c.leaders[term])
		}
		c.leaders[term] = node.id
		if holder != nil {
			c.violate(CheckLease, "%s and %s hold a lease at the same time", holder.name, node.name)
		}
		holder = node
	}
}

// checkAcknowledged compares a response to an operator with the log and with earlier responses to the
// same request.
func (c *checks) checkAcknowledged(command *wirepb.Command, result *wirepb.CommandResult) {
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
		if _, known := c.objectHashes[state.KeyOf(object)][object.GetRevision()]; !known {
			c.violate(CheckDurable, "%s %s was acknowledged at revision %d, which was never committed",
				object.GetKind(), object.GetName(), object.GetRevision())
		}
	}
	if earlier == nil {
		c.expectPropagation(result.GetWrite().GetRevision())
	}
}

// expectPropagation checks a revision after propagationTimeout, unless a fault was active meanwhile.
func (c *checks) expectPropagation(revision uint64) {
	accepted := c.sim.Now()
	c.sim.After(propagationTimeout, func() {
		if c.activeFaults > 0 || c.healedAt+propagationTimeout > accepted {
			return
		}
		for _, router := range c.sim.routers {
			if router.up && router.startedAt < accepted && router.view.Revision() < revision {
				c.violate(CheckPropagation, "%s is at revision %d, %d was accepted 3 s ago", router.name, router.view.Revision(), revision)
			}
		}
	})
}

// checkView compares a router's configuration with everything that was committed.
func (c *checks) checkView(router *routerNode) {
	if revision := router.view.Revision(); revision < router.maxRevision {
		c.violate(CheckRevert, "%s went from revision %d to %d", router.name, router.maxRevision, revision)
	} else {
		router.maxRevision = revision
	}
	router.view.Each(func(object *wirepb.Object) {
		hash, known := c.objectHashes[state.KeyOf(object)][object.GetRevision()]
		if !known || hash != xxhash.Sum64(object.GetSpec()) {
			c.violate(CheckRevert, "%s holds a %s %s that was never committed", router.name, object.GetKind(), object.GetName())
		}
	})
}

func (c *checks) checkStartRevision(router *routerNode) {
	if router.view.Revision() < router.startedFrom {
		c.violate(CheckStaleStart, "%s serves revision %d, %d was committed before it started",
			router.name, router.view.Revision(), router.startedFrom)
	}
}

// recordRun records that a request runs on an engine or, if m is nil, on the ledger.
func (c *checks) recordRun(id string, m *machine, router *routerNode) {
	c.runCounts[id]++
	if c.outcomes[id] == outcomeNotRun {
		c.violate(CheckNotRun, "%s runs after its caller was told that it did not", id)
	}
	if m != nil {
		c.checkDrainedZone(m, router)
	}
	if m == nil || m.leavingSince == 0 {
		return
	}
	inContact := c.sim.Now()-router.lastDigest < contactTimeout
	if inContact && c.sim.Now()-m.leavingSince > leavingGrace && c.sim.Now()-c.healedAt > leavingGrace && c.activeFaults == 0 {
		c.violate(CheckLeaving, "%s received work %s after it was marked as leaving", m.name, c.sim.Now()-m.leavingSince)
	}
}

// recordOutcome records the outcome that was reported to a client.
func (c *checks) recordOutcome(id string, result callerOutcome) {
	if earlier, ended := c.outcomes[id]; ended {
		c.violate(CheckWrongAnswer, "%s was reported as %s, then as %s", id, earlier, result)
	}
	c.outcomes[id] = result
	if result == outcomeNotRun && c.runCounts[id] > 0 {
		c.violate(CheckNotRun, "%s ran although its caller was told that it did not", id)
	}
}

func (c *checks) checkSingleRun(key string, owners []string) {
	if len(owners) > 1 {
		c.violate(CheckAtMostOnce, "%s was executed more than once, for %v", key, owners)
	}
}

// allApplied reports whether all control nodes have applied the whole log.
func (c *checks) allApplied() bool {
	for _, node := range c.sim.controls {
		if node.up && node.member.Raft.Status().Applied != uint64(len(c.entryHashes)) {
			return false
		}
	}
	return true
}

// checkFinalState checks linearizability and convergence.
func (c *checks) checkFinalState() {
	c.checkPaths()
	c.checkCompanions()
	switch c.sim.register.linearizable() {
	case porcupine.Illegal:
		c.violate(CheckLinearizable, "history of the contended object is not linearizable")
	case porcupine.Unknown:
		c.undecided++
	}
	if !c.sim.hasQuorum() {
		return // Without a quorum the cluster cannot converge.
	}
	if c.sim.leader() == nil {
		c.violate(CheckConvergence, "no leader after all faults healed")
	}
	wanted, _ := c.reference.Snapshot()
	for _, node := range c.sim.controls {
		if !node.up {
			continue
		}
		if snapshot, _ := node.member.State.Snapshot(); !bytes.Equal(snapshot, wanted) {
			c.violate(CheckConvergence, "%s is at revision %d, not %d, or has different content", node.name, node.member.State.Revision(), c.reference.Revision())
		}
	}
	c.checkFinalRouters()
	c.checkFinalReplicas()
	if _, open := c.reference.ClaimCounts(); open > 0 {
		c.violate(CheckConvergence, "%d claims still open", open)
	}
}

func (c *checks) checkFinalRouters() {
	for _, router := range c.sim.routers {
		if !router.view.Current() || router.view.Revision() != c.reference.Revision() {
			c.violate(CheckConvergence, "%s is at revision %d, not %d", router.name, router.view.Revision(), c.reference.Revision())
		}
		if waiting := router.core.Waiting(); waiting > 0 {
			c.violate(CheckConvergence, "%d requests still queued at %s", waiting, router.name)
		}
	}
}

func (c *checks) checkFinalReplicas() {
	for _, m := range c.sim.machines {
		c.checkEngine(m)
	}
	c.reference.Each(func(object *wirepb.Object, spec v1.Spec) {
		replica, isReplica := spec.(*v1.ReplicaSpec)
		if !isReplica {
			return
		}
		m := c.sim.machineNamed(replica.Machine)
		loaded := m.engine.Replica(object.GetName())
		if replica.Phase != v1.ReplicaReady || loaded == nil || loaded.Phase != engine.PhaseReady {
			c.violate(CheckConvergence, "replica %s is %s after the idle timeout", object.GetName(), replica.Phase)
		}
	})
}
