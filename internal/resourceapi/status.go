package resourceapi

import (
	"strconv"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// Status is the answer of GET /status.
type Status struct {
	Leader          string       `json:"leader"`
	Term            uint64       `json:"term"`
	ResourceVersion string       `json:"resourceVersion"`
	Voters          []uint64     `json:"voters"`
	Learners        []uint64     `json:"learners,omitempty"`
	Nodes           []NodeStatus `json:"nodes"`
}

// NodeStatus is one node in a Status.
type NodeStatus struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	Live bool   `json:"live"`
	// ResourceVersion is the configuration in force on the node.
	ResourceVersion string `json:"resourceVersion"`
	ReportAgeMillis uint32 `json:"reportAgeMillis"`
}

func statusOf(reply *wirepb.StatusReply) Status {
	status := Status{
		Leader: reply.GetLeader(), Term: reply.GetTerm(),
		ResourceVersion: strconv.FormatUint(reply.GetRevision(), 10),
		Voters:          reply.GetVoters(), Learners: reply.GetLearners(), Nodes: []NodeStatus{},
	}
	for _, node := range reply.GetNodes() {
		status.Nodes = append(status.Nodes, NodeStatus{
			Name: node.GetName(), Zone: node.GetZone(), Live: node.GetLive(),
			ResourceVersion: strconv.FormatUint(node.GetAppliedRevision(), 10),
			ReportAgeMillis: node.GetReportAgeMs(),
		})
	}
	return status
}
