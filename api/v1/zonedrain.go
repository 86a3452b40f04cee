package v1

import "time"

// ZoneDrainSpec declares whether a zone is drained. The resource has the zone's name. It is never
// deleted, so that its revision orders all drains and undrains of the zone.
type ZoneDrainSpec struct {
	// Drained is set if the zone's machines must not get requests.
	Drained bool `json:"drained"`
}

// ReasonZoneDrained is the prefix of the reasons of refusals that a drained zone causes.
const ReasonZoneDrained = "zone drained"

// ZoneDrainStatus is the status of a ZoneDrain.
type ZoneDrainStatus struct {
	// OrderedAt is the time of the last write, by the clock of the control node that received it.
	// A write that doesn't change the spec updates it too: its new revision supersedes
	// earlier writes that are still being propagated.
	OrderedAt time.Time `json:"orderedAt"`
}

func (s *ZoneDrainSpec) setDefaults() {}

func (s *ZoneDrainSpec) validate() error { return nil }

// References implements Spec. Zones are not resources.
func (s *ZoneDrainSpec) References() []Reference { return nil }
