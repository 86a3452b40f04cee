package node

import (
	"context"
	"time"

	"github.com/weldline/weldline/internal/agent"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/gateway"
	"github.com/weldline/weldline/internal/level"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// router is the router role: the gateway for callers, the agent for nearby machines, and the reports of
// both.
type router struct {
	node    *Node
	view    *nodeview.View
	client  *feed.Client
	gateway *gateway.Gateway
	agent   *agent.Agent
	reports *reporter

	sequence uint64
	demand   *nodeview.DemandReporter
}

func newRouter(node *Node) *router {
	created := &router{node: node, view: nodeview.NewAt(node.settings.Location()), demand: nodeview.NewDemandReporter()}
	settings := node.settings
	created.reports = newReporter(settings.Router.ReportInterval, created.nodeReport)
	created.client = feed.NewClient(settings.Router.Upstreams, node.identity(), created.view, node.logger)
	created.reports.client = created.client
	created.gateway = gateway.New(gateway.Options{
		Node: settings.Node, View: created.view, Logger: node.logger, Metrics: gateway.NewMetrics(node.registry),
		Propose: created.client.Propose, MaxWaiting: settings.Router.MaxWaiting,
		MaxBodyBytes: settings.Router.MaxBodyBytes, MemoryBytes: int64(settings.Router.MemoryMB * (1 << 20)), RequestReport: created.reports.trigger,
	})
	created.agent = agent.New(settings.Node, settings.Zone, created.view, node.logger, settings.Router.PollInterval, created.reports.trigger)
	return created
}

func (r *router) start(ctx context.Context) error {
	r.node.workers.Go(func() { r.client.Run(ctx) })
	r.node.workers.Go(func() { r.client.ConfirmUntilCurrent(ctx, r.view) })
	r.node.workers.Go(func() { r.gateway.Run(ctx) })
	r.node.workers.Go(func() { r.agent.Run(ctx) })
	r.node.workers.Go(func() { r.reports.run(ctx) })
	return r.node.serveHTTP(ctx, r.node.settings.Router.Listen, r.gateway)
}

func (r *router) drain(ctx context.Context) bool {
	r.reports.trigger()
	return r.gateway.Drain(ctx)
}

func (r *router) nodeReport(now time.Time) *wirepb.NodeReport {
	r.sequence++
	report := &wirepb.NodeReport{
		Node: r.node.settings.Node, Zone: r.node.settings.Zone,
		Incarnation: r.node.incarnation, Sequence: r.sequence,
		AppliedRevision: r.view.Revision(), Router: true, Draining: r.gateway.Draining(),
		Level: uint32(level.Supported), Machines: r.agent.Reports(now), DigestSequence: r.view.Digest().GetSequence(),
	}
	report.Demand = r.demand.Messages(r.gateway.Demand(now))
	return report
}
