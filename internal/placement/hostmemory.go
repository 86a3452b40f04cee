package placement

// hostMemory learns how many bytes of checkpoints the machines keep in memory,
// so that a load goes where it pushes no other out: a cold start from memory is
// several times as fast as one from disk. Engines don't report the size, so it
// is taken from the most that a machine was seen to hold once one has dropped a
// checkpoint.
type hostMemory struct {
	// held are the bytes in memory by machine, names what they are.
	held  map[string]int64
	names map[string]map[string]bool
	// most is the most that any machine held; full is set once one of them
	// dropped something while it went on running.
	most         int64
	full         bool
	incarnations map[string]uint64
}

func newHostMemory() *hostMemory {
	return &hostMemory{held: map[string]int64{}, names: map[string]map[string]bool{}, incarnations: map[string]uint64{}}
}

// observe takes what the machines report now.
func (h *hostMemory) observe(input *Input) {
	sizes := make(map[string]int64, len(input.Versions))
	for _, version := range input.Versions {
		sizes[version.Spec.Checkpoint] = version.Spec.WeightBytes
	}
	for name, machine := range input.Machines {
		h.observeMachine(name, machine, sizes)
	}
	for name := range h.held {
		if input.Machines[name] == nil {
			delete(h.held, name)
			delete(h.names, name)
			delete(h.incarnations, name)
		}
	}
}

func (h *hostMemory) observeMachine(name string, machine *Machine, sizes map[string]int64) {
	names := make(map[string]bool, len(machine.Tiers))
	held := int64(0)
	for checkpoint, tier := range machine.Tiers {
		if tier == TierMemory {
			names[checkpoint] = true
			held += sizes[checkpoint]
		}
	}
	if h.incarnations[name] == machine.Incarnation {
		for checkpoint := range h.names[name] {
			h.full = h.full || !names[checkpoint]
		}
	}
	h.incarnations[name], h.names[name], h.held[name] = machine.Incarnation, names, held
	h.most = max(h.most, held)
}

// overflows reports whether loading a checkpoint would push others out of a
// machine's memory.
func (h *hostMemory) overflows(machine *Machine, checkpoint string, bytes int64) bool {
	if !h.full || h.names[machine.Name][checkpoint] {
		return false
	}
	return h.held[machine.Name]+bytes > h.most
}
