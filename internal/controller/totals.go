package controller

import "github.com/weldline/weldline/internal/wire/wirepb"

// nodeTotals holds the running totals that nodes have reported, by node and by what is
// counted. Reports carry totals since the node started, so that a lost report loses
// nothing; a node that restarted counts from 0 again.
type nodeTotals[T any] map[string]map[string]T

// of returns a node's totals before a report, to be brought up to date. What is new in
// the report of a node that is first heard of says nothing of when it was counted: then
// isNews is false.
func (n nodeTotals[T]) of(held, report *wirepb.NodeReport) (totals map[string]T, isNews bool) {
	totals = n[report.GetNode()]
	if totals == nil || held.GetIncarnation() != report.GetIncarnation() {
		totals = map[string]T{}
		n[report.GetNode()] = totals
	}
	return totals, held != nil
}
