package places

import (
	"slices"
	"strings"
)

// Constraint says which regions may serve a request. The zero value allows every region, and
// places whose region is not known.
type Constraint struct {
	bound   bool
	regions []string
}

// RestrictTo returns the constraint that allows the named regions; with none named it allows all, as
// a declaration without regions does.
func RestrictTo(regions ...string) Constraint {
	if len(regions) == 0 {
		return Constraint{}
	}
	sorted := slices.Clone(regions)
	slices.Sort(sorted)
	return Constraint{bound: true, regions: slices.Compact(sorted)}
}

// Intersect returns the constraint that allows what both allow.
func (c Constraint) Intersect(other Constraint) Constraint {
	switch {
	case !c.bound:
		return other
	case !other.bound:
		return c
	}
	common := []string{}
	for _, region := range c.regions {
		if slices.Contains(other.regions, region) {
			common = append(common, region)
		}
	}
	return Constraint{bound: true, regions: common}
}

// Allows reports whether a region may serve the request. One that is not known, which is named
// by the empty string, may not where anything is excluded.
func (c Constraint) Allows(region string) bool {
	return !c.bound || region != "" && slices.Contains(c.regions, region)
}

// IsRestrictive reports whether any region is excluded.
func (c Constraint) IsRestrictive() bool {
	return c.bound
}

// IsEmpty reports whether no region at all is allowed.
func (c Constraint) IsEmpty() bool {
	return c.bound && len(c.regions) == 0
}

// Regions returns the allowed regions by name, which must not be changed; nil where all are.
func (c Constraint) Regions() []string {
	return c.regions
}

// Key tells constraints apart: equal ones have the same key, and that of one that allows
// everything is empty.
func (c Constraint) Key() string {
	if !c.bound {
		return ""
	}
	return "only " + strings.Join(c.regions, ",")
}
