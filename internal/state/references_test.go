package state

import (
	"fmt"
	"testing"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestDeletionsCostWhatTheyDelete: machines and replicas come and go at the rate of the fleet's size.
// If each deletion looked at all that there is, the log would slow down with the square of it.
func TestDeletionsCostWhatTheyDelete(t *testing.T) {
	examinedBy := func(machines int) int {
		machine := New()
		var writes []*wirepb.ObjectWrite
		for number := range machines {
			writes = append(writes, written("Machine", fmt.Sprint("m", number), `{"endpoint":"http://10.0.0.1:80","zone":"z","accelerators":1,"acceleratorBytes":100}`))
		}
		mustWrite(t, machine, writes)
		before := machine.examined
		mustWrite(t, machine, []*wirepb.ObjectWrite{{
			Operation: wirepb.ObjectWrite_OPERATION_DELETE, Object: &wirepb.Object{Kind: string(v1.KindMachine), Name: "m0"},
		}})
		return machine.examined - before
	}
	if small, large := examinedBy(10), examinedBy(1000); small != 0 || large != 0 {
		t.Errorf("to delete a machine %d specs of 10 machines were looked at, %d of 1,000", small, large)
	}
}

// TestReferredKindsAreNamed: a spec that refers to a kind which is not counted among the referred ones
// could be left dangling.
func TestReferredKindsAreNamed(t *testing.T) {
	for _, spec := range []v1.Spec{
		&v1.ModelSpec{DefaultVersion: "v"}, &v1.ModelVersionSpec{Model: "m"}, &v1.AdapterSpec{Model: "m"},
		&v1.ServiceSpec{Models: []string{"m"}}, &v1.LimitSpec{Service: "s"}, &v1.RouteSpec{Targets: []v1.RouteTarget{{Pool: "p"}}},
		&v1.MachineSpec{Pool: "p"}, &v1.ReplicaSpec{Machine: "m", Model: "m", Version: "v"}, &v1.PoolSpec{}, &v1.TenantSpec{},
		&v1.SuspectSpec{}, &v1.ZoneDrainSpec{}, &v1.DeclarationSpec{},
	} {
		for _, reference := range spec.References() {
			if !reference.Kind.IsReferenceable() {
				t.Errorf("%T refers to a %s", spec, reference.Kind)
			}
		}
	}
}

func mustWrite(t *testing.T, machine *Machine, writes []*wirepb.ObjectWrite) {
	t.Helper()
	result := apply(t, machine, &wirepb.Command{Body: &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: writes}}})
	if result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK {
		t.Fatal(result.GetMessage())
	}
}
