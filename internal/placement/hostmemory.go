package placement

// hostMemory estimates the host memory that machines have for cached checkpoints, so that loads
// avoid evicting cached checkpoints. Engines do not report the size, so the largest cache seen
// counts as the capacity once a machine has dropped a checkpoint.
type hostMemory struct {
	// cachedBytes is the size of the checkpoints in memory, by machine.
	cachedBytes map[string]int64
	// checkpoints holds the checkpoints in memory, by machine.
	checkpoints map[string]map[string]bool
	// maxBytes is the largest cache seen on any machine.
	maxBytes int64
	// capacityKnown is set once a running machine has dropped a checkpoint.
	capacityKnown bool
	incarnations  map[string]uint64
}

func newHostMemory() *hostMemory {
	return &hostMemory{cachedBytes: map[string]int64{}, checkpoints: map[string]map[string]bool{}, incarnations: map[string]uint64{}}
}

// observe records the checkpoints that the machines report.
func (h *hostMemory) observe(input *Input) {
	sizes := make(map[string]int64, len(input.Versions))
	for _, version := range input.Versions {
		sizes[version.Spec.Checkpoint] = version.Spec.WeightBytes
	}
	for name, machine := range input.Machines {
		h.observeMachine(name, machine, sizes)
	}
	for name := range h.cachedBytes {
		if input.Machines[name] == nil {
			delete(h.cachedBytes, name)
			delete(h.checkpoints, name)
			delete(h.incarnations, name)
		}
	}
}

func (h *hostMemory) observeMachine(name string, machine *Machine, sizes map[string]int64) {
	checkpoints := make(map[string]bool, len(machine.Tiers))
	cached := int64(0)
	for checkpoint, tier := range machine.Tiers {
		if tier == TierMemory {
			checkpoints[checkpoint] = true
			cached += sizes[checkpoint]
		}
	}
	if h.incarnations[name] == machine.Incarnation {
		for checkpoint := range h.checkpoints[name] {
			h.capacityKnown = h.capacityKnown || !checkpoints[checkpoint]
		}
	}
	h.incarnations[name], h.checkpoints[name], h.cachedBytes[name] = machine.Incarnation, checkpoints, cached
	h.maxBytes = max(h.maxBytes, cached)
}

// wouldEvict reports whether loading a checkpoint would evict others from the memory of a machine.
func (h *hostMemory) wouldEvict(machine *Machine, checkpoint string, bytes int64) bool {
	if !h.capacityKnown || h.checkpoints[machine.Name][checkpoint] {
		return false
	}
	return h.cachedBytes[machine.Name]+bytes > h.maxBytes
}
