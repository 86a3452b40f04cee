package v1

// ZoneDrainSpec says whether a zone's machines are to get requests. It is named by the zone.
// The object of a zone that has ever been drained stays, so that its revision tells an order
// that was overtaken by a later one, whichever way each of them went.
type ZoneDrainSpec struct {
	// Drained is set while the zone's machines are to get no requests.
	Drained bool `json:"drained"`
}

func (s *ZoneDrainSpec) setDefaults() {}

func (s *ZoneDrainSpec) validate() error { return nil }

// References implements Spec. Zones are not resources.
func (s *ZoneDrainSpec) References() []Reference { return nil }
