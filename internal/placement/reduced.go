package placement

import "math"

// A machine that warms up, or names a limit, bears a few requests a second. What its replicas can't take
// meanwhile must be taken by others, if another can be loaded before the machine bears all again; else
// the load would come when it is of no use.

// lostToReduced is how many replicas of a version are missing, rounded, as those on machines that
// bear less than usual can't take what is asked of them.
func (p *pass) lostToReduced(version *Version) int {
	lost := 0.0
	for _, replica := range p.byVersion[version.Name] {
		machine := p.input.Machines[replica.Spec.Machine]
		if machine.ReducedFor > p.loadTime(version, TierDisk) {
			lost += 1 - p.borne(machine)
		}
	}
	return int(math.Round(lost))
}

// borne is the share of what is asked of a machine that it bears while that is less than usual, if
// each version's requests are spread evenly over its replicas.
func (p *pass) borne(machine *Machine) float64 {
	asked := 0.0
	for _, replica := range p.machines[machine.Name].replicas {
		version := replica.Spec.Version
		asked += p.planner.work.arrivals[version] / float64(max(1, len(p.byVersion[version])))
	}
	if asked <= machine.ReducedRate {
		return 1
	}
	return machine.ReducedRate / asked
}
