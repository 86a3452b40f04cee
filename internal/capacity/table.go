package capacity

import (
	"fmt"
	"io"
)

const (
	kilobyte = 1e3
	megabyte = 1e6
)

// WriteTable writes a result for a person.
func (r *Result) WriteTable(writer io.Writer) {
	_, _ = fmt.Fprintf(writer, "%s: %d nodes, %d workers, %d models, %d adapters; ready in %.1f s\n",
		r.Result, r.Size.Nodes, r.Size.Workers, r.Size.Models, r.Size.Adapters, r.ReadySeconds)
	for _, phase := range r.Phases {
		_, _ = fmt.Fprintf(writer, "\n%s (%.0f s, %d changes, %d loads, %d refused, %d failed)\n",
			phase.Name, phase.Seconds, phase.Changes, phase.Loads, phase.Refused, phase.Failed)
		if phase.InForce.Count > 0 {
			_, _ = fmt.Fprintf(writer, "  in force everywhere: p50 %.3f s, p99 %.3f s, max %.3f s\n", phase.InForce.P50, phase.InForce.P99, phase.InForce.Max)
		}
		if phase.Cold.Count > 0 {
			_, _ = fmt.Fprintf(writer, "  cold request: p50 %.3f s, p99 %.3f s, max %.3f s\n", phase.Cold.P50, phase.Cold.P99, phase.Cold.Max)
		}
		for _, cost := range phase.Roles {
			_, _ = fmt.Fprintf(writer, "  %-17s x%-4d %6.2f%% of a core  %6.1f MB  sent %8.2f kB/s  received %8.2f kB/s\n",
				cost.Role, cost.Processes, 100*cost.Cores, cost.ResidentBytes/megabyte, cost.SentBytes/kilobyte, cost.ReceivedBytes/kilobyte)
			for _, kind := range cost.Kinds {
				if kind.SentBytes+kind.ReceivedBytes < kilobyte/10 {
					continue
				}
				_, _ = fmt.Fprintf(writer, "      %-20s sent %8.2f kB/s %7.1f/s  received %8.2f kB/s %7.1f/s\n",
					kind.Kind, kind.SentBytes/kilobyte, kind.SentMessages, kind.ReceivedBytes/kilobyte, kind.ReceivedMessages)
			}
		}
	}
	if r.RecoverySeconds > 0 {
		_, _ = fmt.Fprintf(writer, "\neverything was back %.1f s after the faults\n", r.RecoverySeconds)
	}
	_, _ = fmt.Fprintf(writer, "\nlate changes %d, lost changes %d, refused requests %d, failed requests %d\n",
		r.LateChanges, r.LostChanges, r.RefusedRequests, r.FailedRequests)
}
