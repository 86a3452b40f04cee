package places

import (
	"maps"
	"slices"
)

// ZoneMap maps zones to regions. The zero value has no zones.
type ZoneMap struct {
	regions map[string]string
}

// NewZoneMap returns a ZoneMap with a copy of the given table from zones to regions.
func NewZoneMap(regions map[string]string) ZoneMap {
	return ZoneMap{regions: maps.Clone(regions)}
}

// Region returns the region of a zone; empty if it is unknown.
func (m ZoneMap) Region(zone string) string {
	return m.regions[zone]
}

// HasZone reports whether the table contains a zone.
func (m ZoneMap) HasZone(zone string) bool {
	_, known := m.regions[zone]
	return known
}

// Zones returns the zones of the table in sorted order.
func (m ZoneMap) Zones() []string {
	return slices.Sorted(maps.Keys(m.regions))
}

// Proximity ranks how close two zones are. Smaller values are closer.
type Proximity int

// Proximity levels.
const (
	// SameZone means that the zones are equal.
	SameZone Proximity = iota
	// SameRegion means that two different zones are in the same region.
	SameRegion
	// OtherRegion means that the regions differ or one of them is unknown.
	OtherRegion
)

// String returns the name used in logs and metrics.
func (n Proximity) String() string {
	return [...]string{"same_zone", "same_region", "further"}[n]
}

// Proximity returns the proximity of two zones.
func (m ZoneMap) Proximity(left, right string) Proximity {
	if left == right {
		return SameZone
	}
	if region := m.Region(left); region != "" && region == m.Region(right) {
		return SameRegion
	}
	return OtherRegion
}

// Location is the zone of a node with the zones around it.
type Location struct {
	Zone  string
	Zones ZoneMap
}

// ProximityOf returns the proximity of a zone to the location.
func (p Location) ProximityOf(zone string) Proximity {
	return p.Zones.Proximity(p.Zone, zone)
}
