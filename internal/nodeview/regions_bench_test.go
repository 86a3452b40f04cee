package nodeview

import (
	"fmt"
	"strconv"
	"testing"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// BenchmarkMayServe measures the check of region constraints, which is made for each request.
func BenchmarkMayServe(b *testing.B) {
	for _, machines := range []int{140, 1100} {
		var events []*wirepb.WatchEvent
		for number := range machines {
			spec := &v1.MachineSpec{Endpoint: fmt.Sprintf("http://10.1.%d.%d:8080", number/250, number%250), Zone: "za", Pool: "pool", Slots: 4}
			events = append(events, &wirepb.WatchEvent{Object: &wirepb.Object{
				Kind: string(v1.KindMachine), Name: "m-" + strconv.Itoa(number), Revision: 1,
				Spec: encoded(b, spec), Status: encoded(b, &v1.MachineStatus{Phase: v1.MachineLive}),
			}})
		}
		view := NewAt(testPosition)
		view.Apply(feed.Changes{Events: events, Revision: 1, Reset: true})
		for _, allowed := range []places.Constraint{{}, places.RestrictTo("a")} {
			b.Run(fmt.Sprintf("machines=%d/bound=%t", machines, allowed.IsRestrictive()), func(b *testing.B) {
				for b.Loop() {
					if !view.MayServe("m-0", "http://10.1.0.0:8080", allowed) {
						b.Fatal("MayServe is false for an allowed machine")
					}
				}
			})
		}
	}
}
