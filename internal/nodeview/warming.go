package nodeview

import (
	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/warming"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// MayWarmUp reports whether a pool's machines warm up, and the revision of the newest change that makes
// a machine's warm-up state uncertain: of its record or of a drain of its zone. The state of an unknown
// machine is always uncertain.
func (v *View) MayWarmUp(pool, machine string) (changed uint64, may bool) {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	if !v.warmingPools[pool] {
		return 0, false
	}
	record, known := v.machines[machine]
	if !known {
		return warming.UncoveredRevision, true
	}
	return v.changedAt(record), true
}

// EachWarmUpCandidate calls visit for each machine of a pool whose machines warm up, see MayWarmUp.
func (v *View) EachWarmUpCandidate(visit func(machine string, changed uint64)) {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	if len(v.warmingPools) == 0 {
		return
	}
	for name, record := range v.machines {
		if v.warmingPools[record.Spec.Pool] {
			visit(name, v.changedAt(record))
		}
	}
}

// changedAt returns the revision of the newest change that affects a machine's warm-up. The state of
// lost machines and those in drained zones is always uncertain.
func (v *View) changedAt(record Machine) uint64 {
	if record.Status.Phase == v1.MachineLost || v.isDrained(record) {
		return warming.UncoveredRevision
	}
	return max(record.Object.GetRevision(), v.zoneDrains[record.Spec.Zone].Revision)
}

// WarmingOf returns the warm-up states in a digest.
func WarmingOf(digest *wirepb.ClusterDigest) warming.Digest {
	return warming.Digest{
		Term: digest.GetTerm(), Revision: digest.GetRevision(),
		Machines: digest.GetRoster().GetMachines(), Units: digest.GetMachineWarming(),
	}
}
