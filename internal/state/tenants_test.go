package state

import (
	"encoding/json"
	"testing"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

func tenantWrite(t *testing.T, name string, keys ...string) *wirepb.ObjectWrite {
	t.Helper()
	spec := &v1.TenantSpec{Unit: v1.UnitRequests}
	for _, key := range keys {
		spec.KeyHashes = append(spec.KeyHashes, v1.HashKey(key).String())
	}
	encoded, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	object := &wirepb.Object{Kind: string(v1.KindTenant), Name: name, Spec: encoded}
	return &wirepb.ObjectWrite{Operation: wirepb.ObjectWrite_OPERATION_PUT, Object: object}
}

// TestTenantsDoNotShareKeys also checks that one command may move a key to another tenant.
func TestTenantsDoNotShareKeys(t *testing.T) {
	machine := New()
	steps := []struct {
		name   string
		writes []*wirepb.ObjectWrite
		field  string
	}{
		{"first", []*wirepb.ObjectWrite{tenantWrite(t, "blue", "k1", "k2")}, ""},
		{"shared with one that stands", []*wirepb.ObjectWrite{tenantWrite(t, "red", "k3", "k2")}, "spec.keyHashes[1]"},
		{"shared within one write", []*wirepb.ObjectWrite{tenantWrite(t, "red", "k3"), tenantWrite(t, "teal", "k3")}, "spec.keyHashes[0]"},
		{"moved", []*wirepb.ObjectWrite{tenantWrite(t, "red", "k2"), tenantWrite(t, "blue", "k1")}, ""},
		{"of one that is deleted", []*wirepb.ObjectWrite{
			{Operation: wirepb.ObjectWrite_OPERATION_DELETE, Object: &wirepb.Object{Kind: string(v1.KindTenant), Name: "blue"}},
			tenantWrite(t, "red", "k1", "k2"),
		}, ""},
	}
	for _, step := range steps {
		result := machine.applyWrites(step.writes)
		if result.GetField() != step.field || (result.GetCode() == wirepb.ResultCode_RESULT_CODE_OK) != (step.field == "") {
			t.Errorf("%s: %v", step.name, result)
		}
	}
}
