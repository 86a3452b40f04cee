package machines

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/weldline/weldline/api/platform"
	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// The input of each case describes the machine m: its entry in the list, its resource, and the agents'
// reports.
func TestReconcile(t *testing.T) {
	datadriven.RunTest(t, "testdata/reconcile", func(t *testing.T, d *datadriven.TestData) string {
		input := Input{Declared: map[string]Declared{}, Observed: map[string]Observation{}, Timeout: 3 * time.Second}
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			describe(t, &input, strings.Fields(line))
		}
		var out strings.Builder
		for _, write := range Reconcile(input) {
			fmt.Fprintf(&out, "%s %s %s%s\n", strings.ToLower(strings.TrimPrefix(write.GetOperation().String(), "OPERATION_")),
				write.GetObject().GetName(), write.GetObject().GetSpec(), write.GetObject().GetStatus())
		}
		if out.Len() == 0 {
			return "nothing\n"
		}
		return out.String()
	})
}

func describe(t *testing.T, input *Input, fields []string) {
	spec := &v1.MachineSpec{Endpoint: "http://127.0.0.1:1", Zone: "z", Accelerators: 1, AcceleratorBytes: 1 << 30}
	switch fields[0] {
	case "list":
		input.List = &platform.MachineList{}
		if fields[1] != "without" {
			input.List.Machines = []platform.Machine{{
				Name: "m", Zone: spec.Zone, Endpoint: spec.Endpoint, Accelerators: 1, AcceleratorBytes: 1 << 30,
				State: platform.MachineState(fields[1]),
			}}
		}
	case "declared":
		declared := Declared{Object: &wirepb.Object{Name: "m", Revision: 5}, Spec: spec}
		for _, property := range fields[1:] {
			switch property {
			case "by-list":
				declared.Object.Labels = map[string]string{LabelSource: SourcePlatform}
			case "drain":
				spec.Drain = true
			default:
				declared.Status = v1.MachineStatus{Phase: v1.MachinePhase(property), Incarnation: 1}
			}
		}
		input.Declared["m"] = declared
	case "seen":
		silent, err := time.ParseDuration(fields[1])
		if err != nil {
			t.Fatal(err)
		}
		input.Observed["m"] = Observation{Reported: true, Incarnation: 1, SilentFor: silent}
	case "not-seen":
	default:
		t.Fatalf("unknown line %v", fields)
	}
}
