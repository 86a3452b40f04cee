package v1

import "time"

// ZoneDrainSpec says whether a zone's machines are to get requests. It is named by the zone.
// The object of a zone that has ever been drained stays, so that its revision tells an order
// that was overtaken by a later one, whichever way each of them went.
type ZoneDrainSpec struct {
	// Drained is set while the zone's machines are to get no requests.
	Drained bool `json:"drained"`
}

// ReasonZoneDrained begins the reason of whatever does not happen since a zone is drained.
const ReasonZoneDrained = "zone drained"

// ZoneDrainStatus tells of the newest order about a zone.
type ZoneDrainStatus struct {
	// OrderedAt is when the order was taken, by the clock of the control node that took it. An
	// order that finds the zone as it wants it writes this, too: the new revision overtakes
	// whatever is still on its way.
	OrderedAt time.Time `json:"orderedAt"`
}

func (s *ZoneDrainSpec) setDefaults() {}

func (s *ZoneDrainSpec) validate() error { return nil }

// References implements Spec. Zones are not resources.
func (s *ZoneDrainSpec) References() []Reference { return nil }
