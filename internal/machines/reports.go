package machines

import "github.com/weldline/weldline/internal/wire/wirepb"

// ReplicasDiffer reports whether two reports differ in the engine's incarnation or in the set or phases
// of replicas.
func ReplicasDiffer(previous, next *wirepb.MachineReport) bool {
	if previous.GetIncarnation() != next.GetIncarnation() || len(previous.GetReplicas()) != len(next.GetReplicas()) {
		return true
	}
	phases := make(map[string]string, len(previous.GetReplicas()))
	for _, replica := range previous.GetReplicas() {
		phases[replica.GetId()+replica.GetVersion()] = replica.GetPhase()
	}
	for _, replica := range next.GetReplicas() {
		if phases[replica.GetId()+replica.GetVersion()] != replica.GetPhase() {
			return true
		}
	}
	return false
}
