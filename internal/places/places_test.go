package places

import (
	"testing"

	"pgregory.net/rapid"
)

var zones = NewZoneMap(map[string]string{"a1": "a", "a2": "a", "b1": "b", "nowhere": ""})

func TestProximity(t *testing.T) {
	for _, check := range []struct {
		left, right string
		want        Proximity
	}{
		{"a1", "a1", SameZone},
		{"a1", "a2", SameRegion},
		{"a1", "b1", OtherRegion},
		{"unknown", "unknown", SameZone},
		{"unknown", "a1", OtherRegion},
		{"nowhere", "other", OtherRegion},
	} {
		if got := zones.Proximity(check.left, check.right); got != check.want {
			t.Errorf("from %s to %s: %s, want %s", check.left, check.right, got, check.want)
		}
		if got := zones.Proximity(check.right, check.left); got != check.want {
			t.Errorf("from %s to %s: %s, want %s", check.right, check.left, got, check.want)
		}
	}
}

func TestConstraintOfUnknownRegion(t *testing.T) {
	if RestrictTo("a").Allows(zones.Region("unknown")) {
		t.Error("a constraint allows a zone of unknown region")
	}
	if !RestrictTo().Allows(zones.Region("unknown")) {
		t.Error("an unrestricted constraint refuses a zone of unknown region")
	}
}

// TestIntersect checks that an intersection allows exactly the regions that both constraints allow.
func TestIntersect(t *testing.T) {
	regions := []string{"a", "b", "c", ""}
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) Constraint {
			return RestrictTo(rapid.SliceOfN(rapid.SampledFrom(regions[:3]), 0, 3).Draw(t, label)...)
		}
		left, right := draw("left"), draw("right")
		intersection, reversed := left.Intersect(right), right.Intersect(left)
		if intersection.Key() != reversed.Key() {
			t.Fatalf("Intersect is not commutative: %q and %q", intersection.Key(), reversed.Key())
		}
		for _, region := range regions {
			if intersection.Allows(region) != (left.Allows(region) && right.Allows(region)) {
				t.Fatalf("region %q: the intersection of %q and %q allows it: %t", region, left.Key(), right.Key(), intersection.Allows(region))
			}
		}
	})
}
