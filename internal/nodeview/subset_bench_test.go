package nodeview

import (
	"fmt"
	"runtime"
	"testing"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/subset"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// fleetEvents returns events that list a fleet in six zones, with two replicas on each machine: of 50
// busy versions, and one replica each of 250 rare versions.
func fleetEvents(machines int) []*wirepb.WatchEvent {
	var events []*wirepb.WatchEvent
	put := func(kind v1.Kind, name, spec, status string) {
		events = append(events, &wirepb.WatchEvent{Object: &wirepb.Object{
			Kind: string(kind), Name: name, Revision: uint64(len(events) + 1), Spec: []byte(spec), Status: []byte(status),
		}})
	}
	for number := range machines {
		name := fmt.Sprintf("i-%08x", number*2654435761)
		put(v1.KindMachine, name, fmt.Sprintf(`{"endpoint":"http://10.%d.%d.%d:8080","zone":"zone-%d","accelerators":1,"acceleratorBytes":200000000000,"pool":"engines","slots":64}`,
			number>>16, number>>8&255, number&255, number%6), `{"phase":"Live","incarnation":1,"reason":"registered"}`)
		for place := range 2 {
			version := fmt.Sprintf("engines/busy-%d", (number*2+place)%50)
			if place == 0 && number%(machines/250) == 0 {
				version = fmt.Sprintf("engines/rare-%d", number/(machines/250))
			}
			put(v1.KindReplica, fmt.Sprintf("%s-%d", name, place), fmt.Sprintf(
				`{"model":%q,"version":%q,"checkpoint":"model","machine":%q,"incarnation":1,"accelerators":[0],"bytesPerAccelerator":72700000000,`+
					`"weightBytes":72700000000,"cacheBytes":0,"maxConcurrent":64,"phase":"Ready","adopted":true}`, version, version, name), `{"adapters":["a1"]}`)
		}
	}
	return events
}

// BenchmarkViewMemory measures the memory of a view of the whole fleet, and of the subset for a node in
// one zone.
func BenchmarkViewMemory(b *testing.B) {
	zones := map[string]string{}
	for number := range 6 {
		zones[fmt.Sprint("zone-", number)] = "region"
	}
	position := places.Location{Zone: "zone-1", Zones: places.NewZoneMap(zones)}
	for _, machines := range []int{1000, 10_000, 20_000} {
		all := fleetEvents(machines)
		index := subset.NewIndex(position.Zones)
		index.Apply(all, uint64(len(all)), true)
		part := index.Subset(position).Update()
		for _, way := range []struct {
			name   string
			events []*wirepb.WatchEvent
		}{{"whole", all}, {"subset", part}} {
			b.Run(fmt.Sprintf("%s/%d", way.name, machines), func(b *testing.B) {
				for range b.N {
					// A node has its own copy of each object.
					before := heapBytes()
					view := NewAt(position)
					copied := make([]*wirepb.WatchEvent, 0, len(way.events))
					for _, event := range way.events {
						object := event.GetObject()
						copied = append(copied, &wirepb.WatchEvent{Object: &wirepb.Object{
							Kind: object.GetKind(), Name: object.GetName(), Revision: object.GetRevision(),
							Spec: append([]byte(nil), object.GetSpec()...), Status: append([]byte(nil), object.GetStatus()...),
						}})
					}
					view.Apply(feed.Changes{Events: copied, Revision: uint64(len(all)), Reset: true})
					copied = nil
					b.ReportMetric(float64(heapBytes()-before)/1e6, "MB")
					b.ReportMetric(float64(len(way.events)), "objects")
					runtime.KeepAlive(view)
				}
			})
		}
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
