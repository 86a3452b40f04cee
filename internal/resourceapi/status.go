package resourceapi

import (
	"strconv"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// Status is the response of GET /status.
type Status struct {
	Leader          string   `json:"leader"`
	Term            uint64   `json:"term"`
	ResourceVersion string   `json:"resourceVersion"`
	Voters          []uint64 `json:"voters"`
	Learners        []uint64 `json:"learners,omitempty"`
	// Level is the feature level that the cluster has enabled for rolling upgrades.
	Level uint32       `json:"level"`
	Nodes []NodeStatus `json:"nodes"`
}

// NodeStatus is the status of one node.
type NodeStatus struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	Live bool   `json:"live"`
	// ResourceVersion is the latest revision that the node has applied.
	ResourceVersion string `json:"resourceVersion"`
	ReportAgeMillis uint32 `json:"reportAgeMillis"`
	// Level is the highest feature level that the node supports.
	Level uint32 `json:"level"`
}

func toStatus(reply *wirepb.StatusReply) Status {
	status := Status{
		Leader: reply.GetLeader(), Term: reply.GetTerm(),
		ResourceVersion: strconv.FormatUint(reply.GetRevision(), 10),
		Voters:          reply.GetVoters(), Learners: reply.GetLearners(), Level: reply.GetLevel(), Nodes: []NodeStatus{},
	}
	for _, node := range reply.GetNodes() {
		status.Nodes = append(status.Nodes, NodeStatus{
			Name: node.GetName(), Zone: node.GetZone(), Live: node.GetLive(),
			ResourceVersion: strconv.FormatUint(node.GetAppliedRevision(), 10),
			ReportAgeMillis: node.GetReportAgeMs(), Level: node.GetLevel(),
		})
	}
	return status
}
