package placement

import "math"

// A machine that is warming up or has reported a limit serves only a few requests per second. The
// missing capacity is replaced by other replicas if they can be loaded before the machine recovers.

// reducedCapacityLoss returns how many replicas of a version are missing, rounded, because of
// machines with reduced capacity.
func (p *pass) reducedCapacityLoss(version *Version) int {
	missing := 0.0
	for _, replica := range p.byVersion[version.Name] {
		machine := p.input.Machines[replica.Spec.Machine]
		if machine.ReducedFor > p.loadTime(version, TierDisk) {
			missing += 1 - p.servedShare(machine)
		}
	}
	return int(math.Round(missing))
}

// servedShare returns the share of its requests that a machine with reduced capacity can serve, if
// each version's requests are spread evenly over its replicas.
func (p *pass) servedShare(machine *Machine) float64 {
	demanded := 0.0
	for _, replica := range p.machines[machine.Name].replicas {
		version := replica.Spec.Version
		demanded += p.planner.work.requestRates[version] / float64(max(1, len(p.byVersion[version])))
	}
	if demanded <= machine.ReducedRate {
		return 1
	}
	return machine.ReducedRate / demanded
}
