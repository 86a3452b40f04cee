package ingress

// CrashesSettled reports whether all observed crashes have been recorded.
func (i *Ingress) CrashesSettled() bool {
	return i.crashes.IsIdle()
}

// WarmingMachines returns the machines that count as warming up.
func (i *Ingress) WarmingMachines() map[string]bool {
	return i.permits.warming.machines()
}

// KnowsSoftware reports whether a digest has described the software of the pools.
func (i *Ingress) KnowsSoftware() bool { return i.origins.software.Load().isKnown }

// KnowsRouters reports whether the ingress knows a number of other routers.
func (i *Ingress) KnowsRouters(count int) bool {
	i.forwarder.mutex.Lock()
	defer i.forwarder.mutex.Unlock()
	return len(i.forwarder.selector.Nodes()) == count
}

// ConfigurationInUse returns the version of the configuration in use.
func (i *Ingress) ConfigurationInUse() uint64 { return i.configuration.Load() }

// IsIsolated reports whether no path to a machine seems to work.
func (i *Ingress) IsIsolated() bool { return i.paths.isIsolated() }
