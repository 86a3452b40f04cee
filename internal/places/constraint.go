package places

import (
	"slices"
	"strings"
)

// Constraint is the set of regions that may serve a request. The zero value allows every region,
// including unknown ones.
type Constraint struct {
	restricted bool
	regions    []string
}

// RestrictTo returns the constraint that allows only the named regions. Without names it allows all
// regions, like a declaration that lists none.
func RestrictTo(regions ...string) Constraint {
	if len(regions) == 0 {
		return Constraint{}
	}
	sorted := slices.Clone(regions)
	slices.Sort(sorted)
	return Constraint{restricted: true, regions: slices.Compact(sorted)}
}

// Intersect returns the constraint that allows the regions that both constraints allow.
func (c Constraint) Intersect(other Constraint) Constraint {
	switch {
	case !c.restricted:
		return other
	case !other.restricted:
		return c
	}
	common := []string{}
	for _, region := range c.regions {
		if slices.Contains(other.regions, region) {
			common = append(common, region)
		}
	}
	return Constraint{restricted: true, regions: common}
}

// Allows reports whether a region may serve the request. The empty string is an unknown region,
// which only an unrestricted constraint allows.
func (c Constraint) Allows(region string) bool {
	return !c.restricted || region != "" && slices.Contains(c.regions, region)
}

// IsRestrictive reports whether any region is excluded.
func (c Constraint) IsRestrictive() bool {
	return c.restricted
}

// IsEmpty reports whether no region is allowed.
func (c Constraint) IsEmpty() bool {
	return c.restricted && len(c.regions) == 0
}

// Regions returns the allowed regions in sorted order; nil if all are allowed. The caller must not
// modify the slice.
func (c Constraint) Regions() []string {
	return c.regions
}

// Key returns a key that is equal for equal constraints; the key of an unrestricted constraint is
// empty.
func (c Constraint) Key() string {
	if !c.restricted {
		return ""
	}
	return "only " + strings.Join(c.regions, ",")
}
