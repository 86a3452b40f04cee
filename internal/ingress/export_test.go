package ingress

// CrashesSettled reports whether all observed crashes have been recorded.
func (i *Ingress) CrashesSettled() bool {
	return i.crashes.IsIdle()
}

// WarmingMachines returns the machines that count as warming up.
func (i *Ingress) WarmingMachines() map[string]bool {
	return i.permits.warming.machines()
}
