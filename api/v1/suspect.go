package v1

import "time"

// MaxRecordedCrashes bounds the machines that a Suspect names.
const MaxRecordedCrashes = 16

// SuspectSpec is what is known of a request that was at machines when their processes ended.
// It is named by the request's identity. Deleting it lets the request run again.
type SuspectSpec struct {
	// Route and Tenant tell whose request it is; Tenant is empty where callers show no key.
	Route  string `json:"route,omitempty"`
	Tenant string `json:"tenant,omitempty"`
	// Machines are the machines that ended, the earliest first. A machine that starts again
	// has another name.
	Machines []string `json:"machines"`
	// Quarantined is set once no router sends the request to a machine any more.
	Quarantined bool `json:"quarantined,omitempty"`
	// LastCrash is when the newest of the crashes was recorded, by the leader's clock.
	LastCrash time.Time `json:"lastCrash"`
}

func (s *SuspectSpec) setDefaults() {}

func (s *SuspectSpec) validate() error {
	return requireRange("spec.machines", int64(len(s.Machines)), 0, MaxRecordedCrashes)
}

// References implements Spec. The machines are gone mostly.
func (s *SuspectSpec) References() []Reference { return nil }
