package places

import "testing"

func TestHostConstraint(t *testing.T) {
	anyHost := HostConstraint{}
	inA, inAB := HostConstraint{Regions: RestrictTo("a")}, HostConstraint{Regions: RestrictTo("a", "b")}
	v1, v2 := HostConstraint{Software: "v1"}, HostConstraint{Software: "v2"}
	v1InA := HostConstraint{Regions: RestrictTo("a"), Software: "v1"}
	for _, test := range []struct {
		name          string
		narrow, other HostConstraint
		within        bool
	}{
		{"equal", v1InA, v1InA, true},
		{"anything allows everything", v1InA, anyHost, true},
		{"no constraint is within none", anyHost, v1, false},
		{"no constraint is within no region", anyHost, inA, false},
		{"fewer regions", inA, inAB, true},
		{"more regions", inAB, inA, false},
		{"a version in a region", v1InA, v1, true},
		{"a version elsewhere", v1, v1InA, false},
		{"another version", v1, v2, false},
		{"a region says nothing of versions", inA, v1, false},
	} {
		if test.narrow.IsWithin(test.other) != test.within {
			t.Errorf("%s: %v", test.name, !test.within)
		}
	}
	keys := map[string]bool{}
	for _, each := range []HostConstraint{anyHost, inA, inAB, v1, v2, v1InA} {
		keys[each.Key()] = true
	}
	if len(keys) != 6 || anyHost.IsRestrictive() || anyHost.Key() != "" {
		t.Errorf("keys %v", keys)
	}
	if !v1InA.Allows("a", "v1") || v1InA.Allows("b", "v1") || v1InA.Allows("a", "v2") || v1InA.Allows("a", "") || !anyHost.Allows("", "") {
		t.Error("the wrong machines are allowed")
	}
}
