package dispatch

import "time"

// target is a Target with its state.
type target struct {
	Target
	inFlight int
	// retired targets get no new requests and are removed when idle.
	retired bool
	// leaving targets get no new requests, since their machine announced its shutdown.
	leaving  bool
	health   health
	adapters map[string]time.Time
	prefixes prefixCache
}

// SetTargets replaces all targets.
func (s *Scheduler) SetTargets(now time.Time, targets []Target) Outcome {
	var outcome Outcome
	listed := make(map[string]bool, len(targets))
	for _, updated := range targets {
		listed[updated.Replica] = true
		s.putTarget(updated)
	}
	for name, existing := range s.targets {
		if !listed[name] {
			s.retire(existing)
		}
	}
	s.pruneResponseCounts()
	s.dispatchAll(now, &outcome)
	return outcome
}

// replaceTargets is SetTargets including the targets in drained zones.
func (s *Scheduler) replaceTargets(now time.Time, changes TargetChanges) Outcome {
	s.replaceDrained(changes.Drained)
	outcome := s.SetTargets(now, changes.Targets)
	s.refuseWaitingForDrained(now, &outcome)
	return outcome
}

// ChangeTargets applies changes to the targets. Its cost depends on the number of changes, that of
// SetTargets on the number of targets.
func (s *Scheduler) ChangeTargets(now time.Time, changes TargetChanges) Outcome {
	if changes.Full {
		return s.replaceTargets(now, changes)
	}
	var outcome Outcome
	for _, updated := range changes.Targets {
		s.putTarget(updated)
	}
	for _, name := range changes.Removed {
		s.unsetDrained(name)
		s.removeTarget(name)
	}
	for _, updated := range changes.Drained {
		s.setDrained(updated)
	}
	if len(changes.Removed) > 0 || len(changes.Drained) > 0 {
		s.pruneResponseCounts() // Costs a pass over all targets.
	}
	s.dispatchAll(now, &outcome)
	s.refuseWaitingForDrained(now, &outcome)
	return outcome
}

// Machines returns the machines of the targets that may get new requests.
func (s *Scheduler) Machines() map[string]bool {
	machines := map[string]bool{}
	for _, candidate := range s.targets {
		if !candidate.retired {
			machines[candidate.Machine] = true
		}
	}
	return machines
}

func (s *Scheduler) removeTarget(name string) {
	if existing := s.targets[name]; existing != nil {
		s.retire(existing)
	}
}

func (s *Scheduler) putTarget(updated Target) {
	s.unsetDrained(updated.Replica)
	if existing := s.targets[updated.Replica]; existing != nil {
		existing.Target = updated
		existing.retired = false
		return
	}
	_, isLeaving := s.leaving[updated.Machine]
	added := &target{Target: updated, leaving: isLeaving, adapters: map[string]time.Time{}}
	s.targets[updated.Replica] = added
	version := s.version(updated.Version)
	version.targets = append(version.targets, added)
}

// retire stops new requests to a target; it is removed once it is idle.
func (s *Scheduler) retire(existing *target) {
	existing.retired = true
	if existing.inFlight == 0 {
		s.remove(existing)
	}
}

func (s *Scheduler) remove(removed *target) {
	delete(s.targets, removed.Replica)
	version := s.version(removed.Version)
	for position, candidate := range version.targets {
		if candidate == removed {
			version.targets = append(version.targets[:position], version.targets[position+1:]...)
			return
		}
	}
}
