package quarantine

import (
	"slices"
	"strconv"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// endedRetention is how long a VerdictEnded is kept for broken requests that are noticed
	// later. Other verdicts are not kept: a machine that is alive may crash in the next moment.
	endedRetention = 10 * time.Second
	// maxProbes bounds the tracked machines. Crashes beyond it are not recorded.
	maxProbes = 256
	// maxRequestsPerProbe bounds the requests tracked for one machine while it is probed.
	maxRequestsPerProbe = 256
	// maxPartsPerCrash bounds the prompt parts that are recorded for one crash.
	maxPartsPerCrash = 256
	// firstIncarnation is the incarnation of every machine that registers.
	firstIncarnation = 1
)

// BrokenRequest is a request whose response was interrupted or missing.
type BrokenRequest struct {
	Machine, Address string
	// Instance identifies the machine's process; see InstanceName.
	Instance      string
	Identity      Identity
	Route, Tenant string
	// PromptParts are the IDs of the parts of its prompt that other requests may share.
	PromptParts []string
	// Completed is set if the same request completed recently, so that it is not suspected itself.
	Completed bool
}

// Suspects returns what may have crashed the machine.
func (r BrokenRequest) Suspects() []Suspect {
	parts := PartSuspects(r.PromptParts)
	if r.Completed {
		return parts
	}
	return append([]Suspect{{Identity: r.Identity}}, parts...)
}

// isSuspected reports whether the request, or a part of its prompt, may have crashed the machine.
func (r BrokenRequest) isSuspected() bool { return !r.Completed || len(r.PromptParts) > 0 }

// InstanceName identifies one process instance of a machine. Machines that register have a new
// name after each restart; others have the same name and a new incarnation.
func InstanceName(machine string, incarnation uint64) string {
	if incarnation <= firstIncarnation {
		return machine
	}
	return machine + "/" + strconv.FormatUint(incarnation, 10)
}

// Verdict is the status of a machine with broken requests.
type Verdict int

const (
	// VerdictPending: not known yet.
	VerdictPending Verdict = iota
	// VerdictEnded: the process ended unexpectedly.
	VerdictEnded
	// VerdictAlive: the machine accepts connections, so only individual connections broke.
	VerdictAlive
	// VerdictPlanned: the machine was leaving.
	VerdictPlanned
	// VerdictUnknown: the machine neither accepts nor refuses connections.
	VerdictUnknown
)

// String returns the name used in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"none", "ended", "alive", "planned", "unknown"}[v]
}

// Evidence is what is observed of a machine with broken requests.
type Evidence struct {
	// Replaced is set if another live machine has its address, Leaving if it announced its
	// shutdown.
	Replaced, Leaving bool
	// Accepts and Refuses are its reaction to a new connection; neither is set if there was none.
	Accepts, Refuses bool
	// OthersReachable is set if the router can connect to another machine, or knows no other.
	OthersReachable bool
}

// Verdict evaluates the evidence; VerdictPending means that more is needed.
//
// A process that ended refuses connections, or another one registers at its address. A process
// that reset connections accepts new ones. A refused connection proves nothing while the router reaches
// no other machine either: its own paths may be down.
func (e Evidence) Verdict() Verdict {
	switch {
	case e.Replaced:
		return VerdictEnded
	case e.Leaving:
		return VerdictPlanned
	case e.Accepts:
		return VerdictAlive
	case e.Refuses && e.OthersReachable:
		return VerdictEnded
	}
	return VerdictPending
}

// probe is the investigation of one machine.
type probe struct {
	verdict Verdict
	// expiresAt is when the verdict is forgotten.
	expiresAt time.Time
	requests  []BrokenRequest
}

// Tracker tracks crashes seen by one router, including those not yet in its view of the log. It is
// not safe for concurrent use.
type Tracker struct {
	probes map[string]*probe
	// unconfirmed are the crashed instances that the router's view may not contain yet, by
	// suspect.
	unconfirmed map[Identity][]string
	// clearing are the suspects whose records are being cleared.
	clearing map[Identity]bool
	// recentParts and recentRequests don't crash machines, as they completed recently.
	recentParts    recentSet[string]
	recentRequests recentSet[Identity]
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{probes: map[string]*probe{}, unconfirmed: map[Identity][]string{}, clearing: map[Identity]bool{}}
}

// Action is what a router has to do about a broken request.
type Action int

const (
	// ActionNone: nothing, or the pending probe covers the request.
	ActionNone Action = iota
	// ActionProbe: probe the machine.
	ActionProbe
	// ActionRecord: record the request, since the machine is known to have crashed.
	ActionRecord
	// ActionDropped: too many machines are tracked.
	ActionDropped
)

// WithoutRecent returns a broken request without the parts of its prompt that completed recently in another request, and
// marked if the same request did. Otherwise machines that crash together would quarantine what many clients ask for.
func (t *Tracker) WithoutRecent(now time.Time, request BrokenRequest) BrokenRequest {
	request.PromptParts = slices.DeleteFunc(slices.Clone(request.PromptParts), func(part string) bool { return t.recentParts.contains(now, part) })
	request.Completed = t.CompletedRecently(now, Suspect{Identity: request.Identity})
	return request
}

// CompletedRecently reports whether a request, or one with a part, completed recently.
func (t *Tracker) CompletedRecently(now time.Time, suspect Suspect) bool {
	if suspect.Part != "" {
		return t.recentParts.contains(now, suspect.Part)
	}
	return t.recentRequests.contains(now, suspect.Identity)
}

// AddBroken tracks a broken request. The caller must have applied WithoutRecent.
func (t *Tracker) AddBroken(now time.Time, request BrokenRequest) Action {
	for instance, probed := range t.probes {
		if probed.verdict != VerdictPending && now.After(probed.expiresAt) {
			delete(t.probes, instance)
		}
	}
	probed := t.probes[request.Instance]
	switch {
	case probed == nil && len(t.probes) >= maxProbes:
		return ActionDropped
	case probed == nil:
		t.probes[request.Instance] = &probe{requests: []BrokenRequest{request}}
		return ActionProbe
	case probed.verdict == VerdictPending && len(probed.requests) < maxRequestsPerProbe:
		probed.requests = append(probed.requests, request)
	case probed.verdict == VerdictEnded && request.isSuspected():
		t.addUnconfirmed(request)
		return ActionRecord
	}
	return ActionNone
}

// Forget drops an instance that can't be probed.
func (t *Tracker) Forget(instance string) {
	delete(t.probes, instance)
}

// ApplyVerdict applies the verdict on an instance and returns the requests to record.
func (t *Tracker) ApplyVerdict(now time.Time, instance string, verdict Verdict) []BrokenRequest {
	probed := t.probes[instance]
	if probed == nil {
		return nil
	}
	if verdict != VerdictEnded {
		delete(t.probes, instance)
		return nil
	}
	requests := slices.DeleteFunc(probed.requests, func(request BrokenRequest) bool { return !request.isSuspected() })
	probed.verdict, probed.expiresAt, probed.requests = verdict, now.Add(endedRetention), nil
	for _, request := range requests {
		t.addUnconfirmed(request)
	}
	return requests
}

// addUnconfirmed makes the router count a crash at once.
func (t *Tracker) addUnconfirmed(request BrokenRequest) {
	for _, suspect := range request.Suspects() {
		t.unconfirmed[suspect.Identity] = union(t.unconfirmed[suspect.Identity], []string{request.Instance})
	}
}

// MarkRecorded drops crashes that the router's view contains.
func (t *Tracker) MarkRecorded(requests []BrokenRequest) {
	for _, request := range requests {
		for _, suspect := range request.Suspects() {
			remaining := slices.DeleteFunc(t.unconfirmed[suspect.Identity], func(instance string) bool { return instance == request.Instance })
			if len(remaining) == 0 {
				delete(t.unconfirmed, suspect.Identity)
				continue
			}
			t.unconfirmed[suspect.Identity] = remaining
		}
	}
}

// HasSuspects reports whether there are crashes that the router's view may not contain, or pending
// probes.
func (t *Tracker) HasSuspects() bool {
	return len(t.unconfirmed) > 0 || t.hasPendingProbe()
}

func (t *Tracker) hasPendingProbe() bool {
	for _, probed := range t.probes {
		if probed.verdict == VerdictPending {
			return true
		}
	}
	return false
}

// Crashes returns the machines that crashed under a suspect, as far as this router knows, and whether it is
// quarantined. recorded is the record in the view, or nil.
func (t *Tracker) Crashes(suspect Suspect, recorded *v1.SuspectSpec) (machines []string, quarantined bool) {
	if recorded != nil {
		machines = recorded.Machines
	}
	machines = union(machines, t.unconfirmed[suspect.Identity])
	return machines, suspect.isQuarantined(recorded, machines)
}

// IsPending reports whether pending probes may quarantine a suspect. It must not run meanwhile, since it could
// crash another machine.
func (t *Tracker) IsPending(now time.Time, suspect Suspect, recorded *v1.SuspectSpec) bool {
	if t.CompletedRecently(now, suspect) {
		return false
	}
	machines, _ := t.Crashes(suspect, recorded)
	count := len(machines)
	for instance, probed := range t.probes {
		if probed.verdict == VerdictPending && !slices.Contains(machines, instance) && probed.includes(suspect) {
			count++
		}
	}
	return count >= suspect.Threshold()
}

// includes reports whether a request that the suspect is, or is a part of, broke on the probed machine.
func (p *probe) includes(suspect Suspect) bool {
	return slices.ContainsFunc(p.requests, func(request BrokenRequest) bool {
		if suspect.Part != "" {
			return slices.Contains(request.PromptParts, suspect.Part)
		}
		return request.Identity == suspect.Identity && !request.Completed
	})
}

// RememberCompleted remembers that the parts of a prompt did not crash a machine.
func (t *Tracker) RememberCompleted(now time.Time, parts []string) {
	t.recentParts.add(now, parts...)
}

// RememberRequest remembers that a request did not crash a machine.
func (t *Tracker) RememberRequest(now time.Time, identity Identity) {
	t.recentRequests.add(now, identity)
}

// Complete drops the unconfirmed crashes of a suspect that ran to completion, and returns whether
// its record must be cleared.
func (t *Tracker) Complete(identity Identity, recorded bool) bool {
	delete(t.unconfirmed, identity)
	if !recorded || t.clearing[identity] {
		return false
	}
	t.clearing[identity] = true
	return true
}

// MarkCleared ends the clearing of a record, whether or not it succeeded.
func (t *Tracker) MarkCleared(identity Identity) {
	delete(t.clearing, identity)
}

// IsIdle reports whether nothing is being probed, recorded or cleared.
func (t *Tracker) IsIdle() bool {
	return !t.hasPendingProbe() && len(t.unconfirmed) == 0 && len(t.clearing) == 0
}

// RecordCommand returns the command that records requests on a crashed instance.
func RecordCommand(instance string, requests []BrokenRequest) *wirepb.Command {
	command := &wirepb.RecordCrashCommand{Machine: instance}
	recorded := map[string]bool{}
	for _, request := range requests {
		if !request.Completed {
			command.Requests = append(command.Requests, &wirepb.SuspectRequest{Identity: request.Identity[:], Route: request.Route, Tenant: request.Tenant})
		}
		for _, part := range request.PromptParts {
			if !recorded[part] && len(recorded) < maxPartsPerCrash {
				recorded[part] = true
				command.Parts = append(command.Parts, &wirepb.SuspectPart{Part: part, Route: request.Route, Tenant: request.Tenant})
			}
		}
	}
	return &wirepb.Command{Body: &wirepb.Command_RecordCrash{RecordCrash: command}}
}

// ClearCommand returns the command that clears the records of suspects.
func ClearCommand(identities ...Identity) *wirepb.Command {
	command := &wirepb.ClearSuspectsCommand{}
	for _, identity := range identities {
		command.Identities = append(command.Identities, identity[:])
	}
	return &wirepb.Command{Body: &wirepb.Command_ClearSuspects{ClearSuspects: command}}
}
