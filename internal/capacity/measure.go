package capacity

import (
	"sort"
	"time"
)

// RoleCost is what the processes of a role cost in one phase, for each
// process; for hollow nodes, for each node.
type RoleCost struct {
	Role      string `json:"role"`
	Processes int    `json:"processes"`
	// Cores is processor time over time.
	Cores float64 `json:"cores"`
	// ResidentBytes is memory at the end of the phase.
	ResidentBytes float64 `json:"resident_bytes"`
	// SentBytes and ReceivedBytes are a second.
	SentBytes     float64    `json:"sent_bytes_per_second"`
	ReceivedBytes float64    `json:"received_bytes_per_second"`
	Kinds         []KindCost `json:"kinds"`
}

// KindCost is the traffic of one kind of message, a second.
type KindCost struct {
	Kind             string  `json:"kind"`
	SentBytes        float64 `json:"sent_bytes"`
	ReceivedBytes    float64 `json:"received_bytes"`
	SentMessages     float64 `json:"sent_messages"`
	ReceivedMessages float64 `json:"received_messages"`
}

// costs returns the differences between two samplings by role. The leader is
// a role of its own.
func costs(fleet *Fleet, leader string, before, after map[string]sample, span time.Duration) []RoleCost {
	totals := map[string]*RoleCost{}
	kinds := map[string]map[string]*KindCost{}
	for _, process := range fleet.Processes {
		first, known := before[process.Name]
		last, still := after[process.Name]
		if !known || !still {
			continue
		}
		role := roleOf(process, leader)
		if totals[role] == nil {
			totals[role] = &RoleCost{Role: role}
			kinds[role] = map[string]*KindCost{}
		}
		total := totals[role]
		total.Processes += max(1, process.Nodes)
		total.Cores += (last.cpuSeconds - first.cpuSeconds) / span.Seconds()
		total.ResidentBytes += last.residentBytes
		if process.Nodes <= 1 {
			// Of nodes that share a process, only one shows its traffic.
			addKinds(kinds[role], first, last, span)
		}
	}
	listed := make([]RoleCost, 0, len(totals))
	for role, total := range totals {
		listed = append(listed, total.perProcess(kinds[role]))
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].Role < listed[j].Role })
	return listed
}

func roleOf(process Process, leader string) string {
	switch {
	case process.Role == "control" && process.Name == leader:
		return "control-leader"
	case process.Role == "control":
		return "control-follower"
	}
	return process.Role
}

func addKinds(kinds map[string]*KindCost, first, last sample, span time.Duration) {
	add := func(direction string, field func(*KindCost) (bytes, messages *float64)) {
		for kind, value := range last.bytes[direction] {
			if kinds[kind] == nil {
				kinds[kind] = &KindCost{Kind: kind}
			}
			bytes, messages := field(kinds[kind])
			*bytes += (value - first.bytes[direction][kind]) / span.Seconds()
			*messages += (last.messages[direction][kind] - first.messages[direction][kind]) / span.Seconds()
		}
	}
	add("sent", func(cost *KindCost) (bytes, messages *float64) { return &cost.SentBytes, &cost.SentMessages })
	add("received", func(cost *KindCost) (bytes, messages *float64) { return &cost.ReceivedBytes, &cost.ReceivedMessages })
}

func (c RoleCost) perProcess(kinds map[string]*KindCost) RoleCost {
	count := float64(c.Processes)
	c.Cores /= count
	c.ResidentBytes /= count
	for _, kind := range kinds {
		c.SentBytes += kind.SentBytes / count
		c.ReceivedBytes += kind.ReceivedBytes / count
		c.Kinds = append(c.Kinds, KindCost{
			Kind: kind.Kind, SentBytes: kind.SentBytes / count, ReceivedBytes: kind.ReceivedBytes / count,
			SentMessages: kind.SentMessages / count, ReceivedMessages: kind.ReceivedMessages / count,
		})
	}
	sort.Slice(c.Kinds, func(i, j int) bool { return c.Kinds[i].Kind < c.Kinds[j].Kind })
	return c
}

// Spread summarises durations, in seconds.
type Spread struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func spreadOf(values []time.Duration) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := append([]time.Duration(nil), values...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	at := func(share float64) float64 {
		return sorted[int(share*float64(len(sorted)-1))].Seconds()
	}
	return Spread{Count: len(sorted), P50: at(0.5), P95: at(0.95), P99: at(0.99), Max: at(1)}
}
