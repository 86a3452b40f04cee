package node

import (
	"context"
	"time"

	"github.com/weldline/weldline/internal/agent"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/gateway"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// minimumReportGap bounds how often nudges lead to reports.
const minimumReportGap = 5 * time.Millisecond

// router is the router role: the callers' gateway, the agent of the machines
// nearby, and the reports of both.
type router struct {
	node    *Node
	view    *nodeview.View
	client  *feed.Client
	gateway *gateway.Gateway
	agent   *agent.Agent
	nudges  chan struct{}

	sequence uint64
	demand   *nodeview.DemandNews
}

func newRouter(node *Node) *router {
	created := &router{node: node, view: nodeview.New(), nudges: make(chan struct{}, 1), demand: nodeview.NewDemandNews()}
	settings := node.settings
	created.client = feed.NewClient(settings.Router.Upstreams, node.identity(), created.view, node.logger)
	created.gateway = gateway.New(gateway.Options{
		Node: settings.Node, View: created.view, Logger: node.logger, Metrics: gateway.NewMetrics(node.registry),
		Propose: created.client.Propose, MaxWaiting: settings.Router.MaxWaiting,
		MaxBodyBytes: settings.Router.MaxBodyBytes, Nudge: created.nudge,
	})
	created.agent = agent.New(settings.Node, settings.Zone, created.view, node.logger, settings.Router.PollInterval, created.nudge)
	return created
}

func (r *router) start(ctx context.Context) error {
	r.node.workers.Go(func() { r.client.Run(ctx) })
	r.node.workers.Go(func() { r.client.ConfirmUntilCurrent(ctx, r.view) })
	r.node.workers.Go(func() { r.gateway.Run(ctx) })
	r.node.workers.Go(func() { r.agent.Run(ctx) })
	r.node.workers.Go(func() { r.report(ctx) })
	return r.node.serveHTTP(ctx, r.node.settings.Router.Listen, r.gateway)
}

func (r *router) drain(ctx context.Context) bool {
	r.nudge()
	return r.gateway.Drain(ctx)
}

func (r *router) nudge() {
	select {
	case r.nudges <- struct{}{}:
	default:
	}
}

// report sends the node's state upwards, regularly and when nudged.
func (r *router) report(ctx context.Context) {
	ticker := time.NewTicker(r.node.settings.Router.ReportInterval)
	defer ticker.Stop()
	for {
		connected := r.client.Connected()
		_ = r.client.Send(&wirepb.Envelope{Body: &wirepb.Envelope_NodeReport{NodeReport: r.nodeReport(time.Now())}})
		select {
		case <-ctx.Done():
			return
		case <-time.After(minimumReportGap):
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.nudges:
		case <-connected:
		}
	}
}

func (r *router) nodeReport(now time.Time) *wirepb.NodeReport {
	r.sequence++
	report := &wirepb.NodeReport{
		Node: r.node.settings.Node, Zone: r.node.settings.Zone,
		Incarnation: r.node.incarnation, Sequence: r.sequence,
		AppliedRevision: r.view.Revision(), Router: true, Draining: r.gateway.Draining(),
		Machines: r.agent.Reports(now), DigestSequence: r.view.Digest().GetSequence(),
	}
	report.Demand = r.demand.Messages(r.gateway.Demand(now))
	return report
}
