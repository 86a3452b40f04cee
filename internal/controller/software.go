package controller

import (
	"maps"
	"slices"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// poolSoftware describes the software of each pool, sorted by pool. Machines that have gone count as long as
// their records are kept, since streams that they began may still be resumed.
func (v *storedView) poolSoftware() []*wirepb.PoolSoftware {
	if v.software != nil {
		return v.software
	}
	inUse, recent := map[string]map[string]bool{}, map[string]map[string]bool{}
	for _, machine := range v.machines {
		if machine.Spec.Pool == "" {
			continue
		}
		addVersion(recent, machine.Spec.Pool, machine.Spec.Software)
		if machine.Status.Phase.IsInUse() {
			addVersion(inUse, machine.Spec.Pool, machine.Spec.Software)
		}
	}
	v.software = []*wirepb.PoolSoftware{}
	for _, pool := range slices.Sorted(maps.Keys(recent)) {
		described := &wirepb.PoolSoftware{Pool: pool, InUse: slices.Sorted(maps.Keys(inUse[pool])), Uniform: len(recent[pool]) == 1}
		if described.Uniform {
			described.Only = slices.Collect(maps.Keys(recent[pool]))[0]
		}
		v.software = append(v.software, described)
	}
	return v.software
}

func addVersion(versions map[string]map[string]bool, pool, software string) {
	if versions[pool] == nil {
		versions[pool] = map[string]bool{}
	}
	versions[pool][software] = true
}
