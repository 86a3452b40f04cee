package places

import (
	"maps"
	"slices"
)

// Map holds the region of each zone. The zero value knows no zone.
type Map struct {
	regions map[string]string
}

// NewMap returns a Map of a table from zones to regions, which is copied.
func NewMap(regions map[string]string) Map {
	return Map{regions: maps.Clone(regions)}
}

// Region returns the region of a zone; empty if it is not known.
func (m Map) Region(zone string) string {
	return m.regions[zone]
}

// Knows reports whether the table names a zone.
func (m Map) Knows(zone string) bool {
	_, known := m.regions[zone]
	return known
}

// Zones returns the zones that the table names, by name.
func (m Map) Zones() []string {
	return slices.Sorted(maps.Keys(m.regions))
}

// Nearness is how near two places are, the nearest first.
type Nearness int

// The steps of nearness.
const (
	// SameZone: the two share a zone.
	SameZone Nearness = iota
	// SameRegion: they are in different zones of one region.
	SameRegion
	// Further: their regions differ, or one of them is not known.
	Further
)

// String names the nearness in logs and metrics.
func (n Nearness) String() string {
	return [...]string{"same_zone", "same_region", "further"}[n]
}

// Between returns how near two zones are.
func (m Map) Between(left, right string) Nearness {
	if left == right {
		return SameZone
	}
	if region := m.Region(left); region != "" && region == m.Region(right) {
		return SameRegion
	}
	return Further
}

// Position is where a node stands among the zones of a map.
type Position struct {
	Zone string
	Map  Map
}

// To returns how near a zone is.
func (p Position) To(zone string) Nearness {
	return p.Map.Between(p.Zone, zone)
}
