package controller

import "github.com/weldline/weldline/internal/wire/wirepb"

// nodeTotals holds the counters last reported by each node, by subject. Reports carry totals since the
// node's start, so that a lost report loses no increments.
type nodeTotals[T any] map[string]map[string]T

// totalsFor returns a node's stored totals, to be updated by the caller; they are empty after a restart
// of the node. HasBaseline is false for the node's first report, whose increments have no known time.
func (n nodeTotals[T]) totalsFor(previous, report *wirepb.NodeReport) (totals map[string]T, hasBaseline bool) {
	totals = n[report.GetNode()]
	if totals == nil || previous.GetIncarnation() != report.GetIncarnation() {
		totals = map[string]T{}
		n[report.GetNode()] = totals
	}
	return totals, previous != nil
}
