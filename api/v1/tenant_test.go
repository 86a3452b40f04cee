package v1

import (
	"strings"
	"testing"

	"github.com/weldline/weldline/internal/fault"
)

// TestTenantValidation checks that errors about a tenant name the field.
func TestTenantValidation(t *testing.T) {
	hash := HashKey("k").String()
	tests := []struct {
		spec, field string
	}{
		{`{"keyHashes":["` + hash + `"],"priority":3,"rate":10.5,"burst":4,"unit":"Tokens","plainTokens":200}`, ""},
		{`{}`, ""},
		{`{"keyHashes":["` + hash + `","` + hash + `"]}`, "spec.keyHashes[1]"},
		{`{"keyHashes":["k"]}`, "spec.keyHashes[0]"},
		{`{"keyHashes":["` + strings.ToUpper(hash) + `"]}`, "spec.keyHashes[0]"},
		{`{"keyHashes":["` + HashKey("").String() + `"]}`, "spec.keyHashes[0]"},
		{`{"rate":-1}`, "spec.rate"},
		{`{"burst":-1}`, "spec.burst"},
		{`{"plainTokens":-1}`, "spec.plainTokens"},
		{`{"rate":1e300}`, "spec.rate"},
		{`{"unit":"Bytes"}`, "spec.unit"},
	}
	for _, test := range tests {
		_, err := DecodeSpec(KindTenant, []byte(test.spec))
		if field := fault.FieldOf(err); field != test.field || (err != nil) != (test.field != "") {
			t.Errorf("%s: %v names %q, want %q", test.spec, err, field, test.field)
		}
	}
}

// TestCost checks the cost of requests with and without stated tokens.
func TestCost(t *testing.T) {
	byTokens := &TenantSpec{Unit: UnitTokens, PlainTokens: 200}
	byRequests := &TenantSpec{Unit: UnitRequests, PlainTokens: 200}
	for _, test := range []struct {
		spec         *TenantSpec
		tokens, want float64
	}{{byTokens, 1540, 1540}, {byTokens, 0, 200}, {byRequests, 1540, 1}, {byRequests, 0, 1}} {
		if got := test.spec.Cost(test.tokens); got != test.want {
			t.Errorf("%s, %g tokens: %g, want %g", test.spec.Unit, test.tokens, got, test.want)
		}
	}
}
