package v1

import "time"

// MaxRecordedCrashes bounds the machines that a Suspect names.
const MaxRecordedCrashes = 16

// SuspectSpec records a request that was running on machines when their processes crashed. The
// resource is named by the request's identity. Deleting it lifts the quarantine.
type SuspectSpec struct {
	// Tenant is empty if the caller had no key.
	Route  string `json:"route,omitempty"`
	Tenant string `json:"tenant,omitempty"`
	// Machines are the crashed machines, oldest first. A restarted machine has another name.
	Machines []string `json:"machines"`
	// Quarantined is set if routers must reject the request.
	Quarantined bool `json:"quarantined,omitempty"`
	// LastCrash is the time at which the last crash was recorded, by the leader's clock.
	LastCrash time.Time `json:"lastCrash"`
}

func (s *SuspectSpec) setDefaults() {}

func (s *SuspectSpec) validate() error {
	return requireRange("spec.machines", int64(len(s.Machines)), 0, MaxRecordedCrashes)
}

// References implements Spec. The machines usually no longer exist.
func (s *SuspectSpec) References() []Reference { return nil }
