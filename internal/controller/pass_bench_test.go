package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/keepalive"
	"github.com/weldline/weldline/internal/orders"
	"github.com/weldline/weldline/internal/placement"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	benchModels            = 334
	benchReplicas          = 2
	benchMachinesPerRouter = 10
	// benchWritesPerCommand stays below the size limit of a command.
	benchWritesPerCommand = 500
	// benchDemand is the number of versions in a router's report.
	benchDemand = 30
)

// benchFleet is a fleet of registered machines with loaded models, and the reports of its routers.
type benchFleet struct {
	state      *state.Machine
	controller *Controller
	engines    map[string]orders.State
}

func newBenchFleet(b *testing.B, machines int) *benchFleet {
	b.Helper()
	fleet := &benchFleet{state: state.New(), engines: map[string]orders.State{}}
	var writes []*wirepb.ObjectWrite
	put := func(kind v1.Kind, name string, spec, status any) {
		object := &wirepb.Object{Kind: string(kind), Name: name, Spec: benchJSON(b, spec)}
		if status != nil {
			object.Status = benchJSON(b, status)
		}
		writes = append(writes, &wirepb.ObjectWrite{Object: object})
	}
	put(v1.KindPool, "pool", &v1.PoolSpec{Engine: &v1.EngineSpec{Slots: 32, MemoryBytes: 200 << 30, AdapterSlots: 8}}, nil)
	for number := range benchModels {
		model := fmt.Sprintf("model-%03d", number)
		put(v1.KindModel, model, &v1.ModelSpec{MaxReplicas: 100}, nil)
		put(v1.KindModelVersion, model+"@1", &v1.ModelVersionSpec{
			Model: model, Checkpoint: model, WeightBytes: 70 << 30, Accelerators: 1, MaxConcurrent: 32, Pool: "pool",
		}, nil)
	}
	for number := range machines {
		name := fmt.Sprintf("machine-%04d", number)
		put(v1.KindMachine, name, &v1.MachineSpec{
			Endpoint: fmt.Sprintf("http://10.%d.%d.1:80", number/250, number%250), Zone: fmt.Sprintf("z%d", number%4),
			Accelerators: 1, AcceleratorBytes: 200 << 30, Pool: "pool", Slots: 32,
		}, &v1.MachineStatus{Phase: v1.MachineLive, Incarnation: state.RegisteredIncarnation})
		known := orders.State{Models: map[string][]string{}, Settled: true}
		for slot := range benchReplicas {
			model := fmt.Sprintf("model-%03d", (number*benchReplicas+slot)%benchModels)
			known.Models[model] = nil
			known.Disk = append(known.Disk, model)
			put(v1.KindReplica, model+"@1."+name, &v1.ReplicaSpec{
				Model: model, Version: model + "@1", Checkpoint: model, Machine: name, Incarnation: state.RegisteredIncarnation,
				Accelerators: []int{0}, BytesPerAccelerator: 70 << 30, WeightBytes: 70 << 30, MaxConcurrent: 32, Phase: v1.ReplicaReady,
			}, nil)
		}
		fleet.engines[name] = known
	}
	for chunk := range slices.Chunk(writes, benchWritesPerCommand) {
		fleet.apply(b, chunk)
	}
	reports := NewReportTable()
	for number := range machines / benchMachinesPerRouter {
		reports.Add(time.Minute, benchReport(number))
	}
	fleet.controller = New(0, Config{Term: 1, Planner: placement.Config{
		Speeds: placement.DefaultTierSpeeds, KeepAlive: keepalive.New("resident"),
	}}, reports)
	fleet.controller.Observe(fleet.state)
	return fleet
}

func benchJSON(b *testing.B, value any) []byte {
	b.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		b.Fatal(err)
	}
	return encoded
}

func (f *benchFleet) apply(b *testing.B, writes []*wirepb.ObjectWrite) {
	b.Helper()
	data, err := proto.Marshal(&wirepb.Command{Body: &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: writes}}})
	if err != nil {
		b.Fatal(err)
	}
	if result := f.state.Apply(data); result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK {
		b.Fatal(result.GetMessage())
	}
}

func benchReport(number int) *wirepb.NodeReport {
	report := &wirepb.NodeReport{Node: fmt.Sprintf("router-%03d", number), Zone: "z0", Incarnation: 1, Sequence: 1, Router: true}
	for entry := range benchDemand {
		report.Demand = append(report.Demand, &wirepb.ModelDemand{
			Version: fmt.Sprintf("model-%03d@1", (number*benchDemand+entry)%benchModels), Arrivals: 10, Work: 10000, Running: 2,
		})
	}
	return report
}

func (f *benchFleet) stateOf(machine string) (orders.State, bool) {
	engine, known := f.engines[machine]
	return engine, known
}

// addWaitingRequests adds versions that are not loaded and have waiting requests.
func (f *benchFleet) addWaitingRequests(b *testing.B, versions int) {
	b.Helper()
	var writes []*wirepb.ObjectWrite
	report := &wirepb.NodeReport{Node: "router-waiting", Zone: "z0", Incarnation: 1, Sequence: 1, Router: true}
	for number := range versions {
		model := fmt.Sprintf("rare-%03d", number)
		writes = append(writes,
			&wirepb.ObjectWrite{Object: &wirepb.Object{Kind: string(v1.KindModel), Name: model, Spec: benchJSON(b, &v1.ModelSpec{MaxReplicas: 100})}},
			&wirepb.ObjectWrite{Object: &wirepb.Object{Kind: string(v1.KindModelVersion), Name: model + "@1", Spec: benchJSON(b, &v1.ModelVersionSpec{
				Model: model, Checkpoint: model, WeightBytes: 70 << 30, Accelerators: 1, MaxConcurrent: 32, Pool: "pool",
			})}})
		report.Demand = append(report.Demand, &wirepb.ModelDemand{
			Version: model + "@1", Waiting: 2, Arrivals: 3, Work: 27000, OldestWaitMs: 300, TargetMs: 3000,
		})
	}
	f.apply(b, writes)
	f.controller.Observe(f.state)
	f.controller.reports.Add(time.Minute, report)
}

// BenchmarkDecideWaiting measures a pass on a full fleet while requests wait for versions that are not
// loaded.
func BenchmarkDecideWaiting(b *testing.B) {
	for _, machines := range []int{300, 1000, 3000, 10_000} {
		for _, waiting := range []int{10, 100, 200} {
			fleet := newBenchFleet(b, machines)
			fleet.addWaitingRequests(b, waiting)
			for _, report := range ReadRegisteredFleet(fleet.state).Reports(fleet.stateOf) {
				fleet.controller.reports.AddMachine(time.Minute, report)
			}
			b.Run(fmt.Sprintf("machines=%d/waiting=%d", machines, waiting), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					decision := fleet.controller.DecideReplicas(time.Minute, time.Unix(60, 0))
					b.ReportMetric(float64(len(decision.Actions)), "actions")
				}
			})
		}
	}
}

// BenchmarkPass measures the parts of a pass by the number of machines.
func BenchmarkPass(b *testing.B) {
	for _, machines := range []int{300, 1000, 3000, 10_000} {
		fleet := newBenchFleet(b, machines)
		registered := ReadRegisteredFleet(fleet.state)
		reports := fleet.controller.reports
		parts := []struct {
			name string
			run  func()
		}{
			{"read-state", func() { readState(fleet.state) }},
			{"read-registered", func() { ReadRegisteredFleet(fleet.state) }},
			{"machine-writes", func() { fleet.controller.MachineWrites(time.Minute, nil) }},
			{"adopt", func() { registered.Adopt(fleet.stateOf) }},
			{"reports", func() {
				for _, report := range registered.Reports(fleet.stateOf) {
					reports.AddMachine(time.Minute, report)
				}
			}},
			{"decide", func() { fleet.controller.DecideReplicas(time.Minute, time.Unix(60, 0)) }},
			{"wanted", func() {
				registered.DesiredStates(fleet.stateOf, reports.AdapterDemand(time.Minute), fleet.controller.Work())
			}},
			{"digest", func() {
				fleet.controller.lastDigest = 0
				fleet.controller.Digest(time.Minute, 1)
			}},
		}
		for _, part := range parts {
			b.Run(fmt.Sprintf("%s/machines=%d", part.name, machines), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					part.run()
				}
			})
		}
	}
}

// BenchmarkObserveWarming measures the cost per pass in a fleet without warming pools.
func BenchmarkObserveWarming(b *testing.B) {
	for _, machines := range []int{1000, 3000, 10000} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			fleet := newBenchFleet(b, machines)
			fleet.controller.Observe(fleet.state)
			for b.Loop() {
				fleet.controller.ObserveWarming(time.Second, nil)
			}
		})
	}
}
