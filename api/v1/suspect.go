package v1

import "time"

// MaxRecordedCrashes bounds the machines that a Suspect names.
const MaxRecordedCrashes = 16

// SuspectSpec records what may crash machines: a request that was running on machines when their processes
// crashed, or a part of the prompts of such requests. The resource is named by the identity of the request or
// part. Deleting it lifts the quarantine.
type SuspectSpec struct {
	// PromptPart is the ID of the part; empty for a request.
	PromptPart string `json:"promptPart,omitempty"`
	// Route and Tenant are those of the last request. Tenant is empty if the caller had no key.
	Route  string `json:"route,omitempty"`
	Tenant string `json:"tenant,omitempty"`
	// Machines are the crashed machines, oldest first. A restarted machine has another name.
	Machines []string `json:"machines"`
	// Quarantined is set if routers must reject the request, or requests with the part.
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
