package places

import (
	"maps"
	"slices"
)

// ZoneMap holds the region of each zone. The zero value knows no zone.
type ZoneMap struct {
	regions map[string]string
}

// NewZoneMap returns a Map of a table from zones to regions, which is copied.
func NewZoneMap(regions map[string]string) ZoneMap {
	return ZoneMap{regions: maps.Clone(regions)}
}

// Region returns the region of a zone; empty if it is not known.
func (m ZoneMap) Region(zone string) string {
	return m.regions[zone]
}

// HasZone reports whether the table names a zone.
func (m ZoneMap) HasZone(zone string) bool {
	_, known := m.regions[zone]
	return known
}

// Zones returns the zones that the table names, by name.
func (m ZoneMap) Zones() []string {
	return slices.Sorted(maps.Keys(m.regions))
}

// Proximity is how near two places are, the nearest first.
type Proximity int

// The steps of nearness.
const (
	// SameZone: the two share a zone.
	SameZone Proximity = iota
	// SameRegion: they are in different zones of one region.
	SameRegion
	// Further: their regions differ, or one of them is not known.
	OtherRegion
)

// String names the nearness in logs and metrics.
func (n Proximity) String() string {
	return [...]string{"same_zone", "same_region", "further"}[n]
}

// Proximity returns how near two zones are.
func (m ZoneMap) Proximity(left, right string) Proximity {
	if left == right {
		return SameZone
	}
	if region := m.Region(left); region != "" && region == m.Region(right) {
		return SameRegion
	}
	return OtherRegion
}

// Location is where a node stands among the zones of a map.
type Location struct {
	Zone  string
	Zones ZoneMap
}

// ProximityOf returns how near a zone is.
func (p Location) ProximityOf(zone string) Proximity {
	return p.Zones.Proximity(p.Zone, zone)
}
