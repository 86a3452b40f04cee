package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDrainZone measures draining a quarter of the fleet at once, which blocks dispatching.
func BenchmarkDrainZone(b *testing.B) {
	for _, machines := range []int{300, 3000} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			const replicasOnEach = 3
			now := time.Unix(0, 0)
			for b.Loop() {
				b.StopTimer()
				scheduler := New(Config{LeastWork: true, SharedSlots: true})
				var targets []Target
				for machine := range machines {
					for replica := range replicasOnEach {
						targets = append(targets, Target{
							Replica: fmt.Sprintf("m%d-r%d", machine, replica), Version: fmt.Sprintf("v%d", (machine+replica)%(machines/3)),
							Machine: fmt.Sprintf("m%d", machine), MaxConcurrent: 4,
						})
					}
				}
				scheduler.SetTargets(now, targets)
				b.StartTimer()
				scheduler.ChangeTargets(now, TargetChanges{Drained: targets[:len(targets)/4]})
			}
		})
	}
}
