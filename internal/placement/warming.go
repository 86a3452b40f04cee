package placement

import "math"

// A machine that warms up bears a few requests a second. What its replicas can't take meanwhile
// must be taken by others, if another can be loaded before the machine is warm; else the load
// would come when it is of no use.

// lostToWarming is how many replicas of a version are missing, rounded, as those on machines that
// warm up bear less than what is asked of them.
func (p *pass) lostToWarming(version *Version) int {
	lost := 0.0
	for _, replica := range p.byVersion[version.Name] {
		machine := p.input.Machines[replica.Spec.Machine]
		if machine.Warming > p.loadTime(version, TierDisk) {
			lost += 1 - p.borne(machine)
		}
	}
	return int(math.Round(lost))
}

// borne is the share of what is asked of a machine that it bears while it warms up, if each
// version's requests are spread evenly over its replicas.
func (p *pass) borne(machine *Machine) float64 {
	asked := 0.0
	for _, replica := range p.machines[machine.Name].replicas {
		version := replica.Spec.Version
		asked += p.planner.work.arrivals[version] / float64(max(1, len(p.byVersion[version])))
	}
	if asked <= machine.WarmingRate {
		return 1
	}
	return machine.WarmingRate / asked
}
