package machines

import "github.com/weldline/weldline/internal/wire/wirepb"

// ReplicasDiffer reports whether two reports on a machine differ in what
// matters at once: the engine's incarnation, or a replica that came, went or
// changed its phase.
func ReplicasDiffer(held, next *wirepb.MachineReport) bool {
	if held.GetIncarnation() != next.GetIncarnation() || len(held.GetReplicas()) != len(next.GetReplicas()) {
		return true
	}
	phases := make(map[string]string, len(held.GetReplicas()))
	for _, replica := range held.GetReplicas() {
		phases[replica.GetId()+replica.GetVersion()] = replica.GetPhase()
	}
	for _, replica := range next.GetReplicas() {
		if phases[replica.GetId()+replica.GetVersion()] != replica.GetPhase() {
			return true
		}
	}
	return false
}
