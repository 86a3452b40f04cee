package agent

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/weldline/weldline/api/engine"
	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestOrders reads the decided replicas ("decided" NAME PHASE CREATE_REVISION
// REVISION INCARNATION) and those on the engine ("holds" NAME PHASE).
func TestOrders(t *testing.T) {
	datadriven.RunTest(t, "testdata/orders", func(t *testing.T, d *datadriven.TestData) string {
		report := &engine.Report{Machine: "m"}
		var revision uint64
		d.ScanArgs(t, "revision", &revision)
		d.ScanArgs(t, "fence", &report.Fence)
		d.ScanArgs(t, "incarnation", &report.Incarnation)
		var replicas []nodeview.Replica
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			fields := strings.Fields(line)
			if len(fields) == 0 {
				continue
			}
			if fields[0] == "holds" {
				report.Replicas = append(report.Replicas, engine.ReplicaReport{Replica: fields[1], Phase: fields[2]})
				continue
			}
			number := func(position int) uint64 {
				value, err := strconv.ParseUint(fields[position], 10, 64)
				if err != nil {
					t.Fatal(err)
				}
				return value
			}
			replicas = append(replicas, nodeview.Replica{
				Object: &wirepb.Object{Name: fields[1], CreateRevision: number(3), Revision: number(4)},
				Spec:   &v1.ReplicaSpec{Phase: v1.ReplicaPhase(fields[2]), Incarnation: number(5), Machine: "m"},
			})
		}
		var out strings.Builder
		for _, order := range Orders(replicas, revision, report) {
			fmt.Fprintf(&out, "%s %s fence=%d incarnation=%d\n", order.Kind, order.Replica, order.Fence, order.Incarnation)
		}
		if out.Len() == 0 {
			return "nothing\n"
		}
		return out.String()
	})
}

// TestRefusedLoadsAreReportedAsFailed checks that a refused load is reported as
// failed and not sent again, until it expires.
func TestRefusedLoadsAreReportedAsFailed(t *testing.T) {
	now := time.Unix(1000, 0)
	refused := RefusedLoads{}
	refused.Record(engine.Order{Kind: engine.OrderLoad, Replica: "a"}, now)
	refused.Record(engine.Order{Kind: engine.OrderUnload, Replica: "b"}, now)
	report := MachineReport("m", &engine.Report{}, refused, now)
	if len(report.GetReplicas()) != 1 || report.GetReplicas()[0].GetPhase() != engine.PhaseFailed {
		t.Errorf("%v", report)
	}
	if !refused.Contains(engine.Order{Kind: engine.OrderLoad, Replica: "a"}) || refused.Contains(engine.Order{Kind: engine.OrderUnload, Replica: "a"}) {
		t.Error("Contains must match the refused load and no other order")
	}
	if later := MachineReport("m", &engine.Report{}, refused, now.Add(time.Minute)); len(later.GetReplicas()) != 0 {
		t.Errorf("%v", later)
	}
}
