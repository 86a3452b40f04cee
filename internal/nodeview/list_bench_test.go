package nodeview

import (
	"encoding/json"
	"strconv"
	"testing"

	"google.golang.org/protobuf/proto"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const replicasPerMachine = 2

// fleetList returns events that list a fleet's machines and replicas.
func fleetList(b *testing.B, machines int) []*wirepb.WatchEvent {
	b.Helper()
	var events []*wirepb.WatchEvent
	add := func(kind v1.Kind, name string, spec, status any) {
		object := &wirepb.Object{Kind: string(kind), Name: name, Revision: 1, CreateRevision: 1, Generation: 1}
		object.Spec = encoded(b, spec)
		object.Status = encoded(b, status)
		object.Labels = map[string]string{"weldline/source": "registration"}
		events = append(events, &wirepb.WatchEvent{Object: object})
	}
	for number := range machines {
		machine := "i-5d9976" + strconv.Itoa(100_000+number)
		add(v1.KindMachine, machine, &v1.MachineSpec{Endpoint: "http://10.1.64.39:8080", Zone: "zone-1", Pool: "pool", Slots: 32},
			&v1.MachineStatus{Phase: v1.MachineLive, Incarnation: 1})
		for place := range replicasPerMachine {
			version := "pool/model-" + strconv.Itoa((number*replicasPerMachine+place)%334) + "@2x8b1zk2m1p0"
			add(v1.KindReplica, "r-"+strconv.Itoa(number)+"-"+strconv.Itoa(place), &v1.ReplicaSpec{
				Model: "pool/model", Version: version, Checkpoint: "model", Machine: machine, Incarnation: 1, Accelerators: []int{0},
				BytesPerAccelerator: 72_700_000_000, WeightBytes: 72_700_000_000, MaxConcurrent: 32, Phase: v1.ReplicaReady, Adopted: true,
			}, &v1.ReplicaStatus{})
		}
	}
	return events
}

func encoded(b testing.TB, value any) []byte {
	b.Helper()
	content, err := json.Marshal(value)
	if err != nil {
		b.Fatal(err)
	}
	return content
}

// BenchmarkReset measures the application of a list of the whole state.
func BenchmarkReset(b *testing.B) {
	for _, machines := range []int{300, 1100, 3000} {
		events := fleetList(b, machines)
		size := proto.Size(&wirepb.WatchBatch{Events: events})
		b.Run(strconv.Itoa(machines), func(b *testing.B) {
			for b.Loop() {
				New().Apply(feed.Changes{Events: events, Revision: 1, Reset: true})
			}
			b.ReportMetric(float64(size), "wire-bytes")
		})
	}
}
