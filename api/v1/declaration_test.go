package v1

import (
	"testing"

	"github.com/weldline/weldline/internal/fault"
)

// TestDeclarationLimitsNameTheirField checks that errors about a limit name its field.
func TestDeclarationLimitsNameTheirField(t *testing.T) {
	tests := []struct {
		spec, field string
	}{
		{`{"version":1,"headerTimeout":"3s","idleTimeout":"15s","maxHeaderBytes":1024,"maxBodyBytes":4096}`, ""},
		{`{"version":1}`, ""},
		{`{"headerTimeout":"-1s"}`, "spec.headerTimeout"},
		{`{"idleTimeout":"-1s"}`, "spec.idleTimeout"},
		{`{"maxHeaderBytes":-1}`, "spec.maxHeaderBytes"},
		{`{"maxBodyBytes":-1}`, "spec.maxBodyBytes"},
	}
	for _, test := range tests {
		_, err := DecodeSpec(KindDeclaration, []byte(test.spec))
		if field := fault.FieldOf(err); field != test.field || (err != nil) != (test.field != "") {
			t.Errorf("%s: %v names %q, want %q", test.spec, err, field, test.field)
		}
	}
}

// TestModelVersionAdapters checks that empty and duplicate adapter names are rejected with
// the index of the adapter.
func TestModelVersionAdapters(t *testing.T) {
	const version = `{"model":"m","checkpoint":"c","weightBytes":1,"adapters":`
	tests := []struct {
		adapters, field string
	}{
		{`[]`, ""},
		{`["a1","a2"]`, ""},
		{`["a1",""]`, "spec.adapters[1]"},
		{`["a1","a2","a1"]`, "spec.adapters[2]"},
	}
	for _, test := range tests {
		_, err := DecodeSpec(KindModelVersion, []byte(version+test.adapters+"}"))
		if field := fault.FieldOf(err); field != test.field || (err != nil) != (test.field != "") {
			t.Errorf("%s: %v names %q, want %q", test.adapters, err, field, test.field)
		}
	}
}
