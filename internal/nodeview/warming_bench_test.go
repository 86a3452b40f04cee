package nodeview

import (
	"fmt"
	"testing"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// BenchmarkEachWarmUpCandidate measures the visit for each digest, with and without warming pools.
func BenchmarkEachWarmUpCandidate(b *testing.B) {
	const machines, replicasOnEach = 3000, 3
	for _, warming := range []*v1.WarmingSpec{nil, {RequestsPerSecond: 5}} {
		var events []*wirepb.WatchEvent
		add := func(kind v1.Kind, name string, spec v1.Spec) {
			object := &wirepb.Object{Kind: string(kind), Name: name, Revision: 1, Spec: encoded(b, spec)}
			events = append(events, &wirepb.WatchEvent{Object: object})
		}
		add(v1.KindPool, "pool", &v1.PoolSpec{Warming: warming})
		for number := range machines {
			machine := fmt.Sprintf("m-%d", number)
			add(v1.KindMachine, machine, &v1.MachineSpec{Endpoint: "http://10.1.0.1:8080", Zone: "za", Pool: "pool", Slots: 4})
			for replica := range replicasOnEach {
				add(v1.KindReplica, fmt.Sprintf("%s-%d", machine, replica), &v1.ReplicaSpec{Machine: machine, Version: "v", Phase: v1.ReplicaReady})
			}
		}
		view := New()
		view.Apply(feed.Changes{Events: events, Revision: 1, Reset: true})
		b.Run(fmt.Sprintf("declared=%t", warming != nil), func(b *testing.B) {
			for b.Loop() {
				view.EachWarmUpCandidate(func(string, uint64) {})
			}
		})
	}
}
