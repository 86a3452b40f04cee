package quarantine

import (
	"slices"

	v1 "github.com/weldline/weldline/api/v1"
)

const (
	// RequestThreshold is the number of crashes after which a request is refused. One crash is not
	// enough, since it implicates everything that ran on the machine.
	RequestThreshold = 2
	// PartThreshold is the number of crashes after which requests with a prompt part are refused. It is
	// above RequestThreshold, since many requests share a part, so that a sound one is more often on crashed
	// machines by chance.
	PartThreshold = 3
)

// Suspect is what may have crashed a machine: a request, or a part of prompts whatever else the requests
// hold.
type Suspect struct {
	Identity Identity
	// Part is the ID of the prompt part; empty for a request.
	Part string
}

// PartSuspects returns the suspects for the parts of a prompt.
func PartSuspects(parts []string) []Suspect {
	suspects := make([]Suspect, 0, len(parts))
	for _, part := range parts {
		suspects = append(suspects, Suspect{Identity: PartIdentity(part), Part: part})
	}
	return suspects
}

// Threshold returns the number of crashes after which the suspect is quarantined.
func (s Suspect) Threshold() int {
	return threshold(s.Part)
}

func threshold(part string) int {
	if part != "" {
		return PartThreshold
	}
	return RequestThreshold
}

// IsExplained reports whether the crashes of a quarantined prompt part are explained by other quarantined
// parts, so that it is not held against a request without these. A sound part that often occurs together
// with a harmful one is on the machines that the harmful one crashes.
//
// Two parts that were on the same machines explain each other. Requests with both are refused, and one with
// only one of them runs: it either clears that part, or crashes a machine that the other does not explain.
func IsExplained(machines []string, others [][]string) bool {
	explaining := map[string]bool{}
	for _, other := range others {
		for _, machine := range other {
			explaining[machine] = true
		}
	}
	unexplained := 0
	for _, machine := range machines {
		if !explaining[machine] {
			unexplained++
		}
	}
	return unexplained == 0 || unexplained < PartThreshold && len(explaining) > len(machines)
}

// isQuarantined reports whether a suspect with the given crashes is quarantined.
func (s Suspect) isQuarantined(recorded *v1.SuspectSpec, machines []string) bool {
	return recorded != nil && recorded.Quarantined || len(machines) >= s.Threshold()
}

// union returns the elements of both lists without duplicates.
func union(first, second []string) []string {
	all := slices.Clone(first)
	for _, element := range second {
		if !slices.Contains(all, element) {
			all = append(all, element)
		}
	}
	return all
}
