package places

import (
	"testing"

	"pgregory.net/rapid"
)

var table = NewZoneMap(map[string]string{"a1": "a", "a2": "a", "b1": "b", "nowhere": ""})

func TestBetween(t *testing.T) {
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
		if got := table.Proximity(check.left, check.right); got != check.want {
			t.Errorf("from %s to %s: %s, want %s", check.left, check.right, got, check.want)
		}
		if got := table.Proximity(check.right, check.left); got != check.want {
			t.Errorf("from %s to %s: %s, want %s", check.right, check.left, got, check.want)
		}
	}
}

func TestConstraintOfUnknownRegion(t *testing.T) {
	if RestrictTo("a").Allows(table.Region("unknown")) {
		t.Error("a zone whose region is not known is allowed by a constraint")
	}
	if !RestrictTo().Allows(table.Region("unknown")) {
		t.Error("without a constraint a zone is refused")
	}
}

// TestAnd checks that both sides of a conjunction bind, for any two constraints.
func TestAnd(t *testing.T) {
	regions := []string{"a", "b", "c", ""}
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) Constraint {
			return RestrictTo(rapid.SliceOfN(rapid.SampledFrom(regions[:3]), 0, 3).Draw(t, label)...)
		}
		left, right := draw("left"), draw("right")
		both, turned := left.Intersect(right), right.Intersect(left)
		if both.Key() != turned.Key() {
			t.Fatalf("%q one way and %q the other", both.Key(), turned.Key())
		}
		for _, region := range regions {
			if both.Allows(region) != (left.Allows(region) && right.Allows(region)) {
				t.Fatalf("region %q: %q and %q together allow it: %t", region, left.Key(), right.Key(), both.Allows(region))
			}
		}
	})
}
