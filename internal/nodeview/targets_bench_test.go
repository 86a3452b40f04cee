package nodeview

import (
	"strconv"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// BenchmarkTargets measures the update of all targets, and of those affected by a change of one machine
// and its replicas.
func BenchmarkTargets(b *testing.B) {
	for _, machines := range []int{300, 1100, 3000} {
		view := New()
		view.Apply(feed.Changes{Events: fleetList(b, machines), Revision: 1, Reset: true})
		core := dispatch.New(dispatch.Config{MaxWaiting: 100})
		core.ChangeTargets(time.Unix(1000, 0), view.TakeTargetChanges())
		changed := fleetList(b, 1)
		b.Run("all/"+strconv.Itoa(machines), func(b *testing.B) {
			for b.Loop() {
				core.SetTargets(time.Unix(1000, 0), view.RegisteredTargets())
			}
		})
		b.Run("one/"+strconv.Itoa(machines), func(b *testing.B) {
			for revision := uint64(2); b.Loop(); revision++ {
				for _, event := range changed {
					event.Object.Revision = revision
				}
				view.Apply(feed.Changes{Events: changed, Revision: revision})
				core.ChangeTargets(time.Unix(1000, 0), view.TakeTargetChanges())
			}
		})
	}
}

// BenchmarkDigest measures the update of machine loads from a digest.
func BenchmarkDigest(b *testing.B) {
	for _, machines := range []int{300, 1100, 3000} {
		digest := &wirepb.ClusterDigest{Roster: &wirepb.Roster{}}
		for number := range machines {
			digest.Roster.Machines = append(digest.Roster.Machines, "i-5d9976"+strconv.Itoa(100_000+number))
			digest.MachineLoads = append(digest.MachineLoads, byte(number%3))
			digest.MachineWork = append(digest.MachineWork, byte(number%7))
		}
		core := dispatch.New(dispatch.Config{MaxWaiting: 100})
		b.Run(strconv.Itoa(machines), func(b *testing.B) {
			for b.Loop() {
				core.SetLoads(time.Unix(1000, 0), LoadsOf(digest), 300)
				_ = WorkOf(digest)
			}
		})
	}
}
