package ingress

// CrashesSettled reports whether all that is known of crashes has been recorded.
func (i *Ingress) CrashesSettled() bool {
	return i.crashes.IsIdle()
}

// WarmingMachines returns the machines that are taken to warm up.
func (i *Ingress) WarmingMachines() map[string]bool {
	return i.permits.warming.machines()
}
