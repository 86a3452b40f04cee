package node

import (
	"context"
	"net/http"
	"time"

	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/ingress"
	"github.com/weldline/weldline/internal/level"
	"github.com/weldline/weldline/internal/link"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/quota"
	"github.com/weldline/weldline/internal/retrybudget"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// forcedStopTime is the part of the stop timeout reserved for ending the remaining requests.
	forcedStopTime    = 600 * time.Millisecond
	stopPollPeriod    = 20 * time.Millisecond
	leaveDelayDivisor = 2
)

// ingressRole is the ingress role: the proxy for callers, and its reports.
type ingressRole struct {
	node    *Node
	link    *link.Meter
	view    *nodeview.View
	client  *feed.Client
	ingress *ingress.Ingress
	server  *ingress.Server
	reports *reporter

	sequence uint64
	demand   *nodeview.DemandReporter
	answers  *nodeview.AnswerReporter
}

func newIngressRole(node *Node) *ingressRole {
	created := &ingressRole{node: node, view: nodeview.NewAt(node.settings.Location()), demand: nodeview.NewDemandReporter(), answers: nodeview.NewAnswerReporter()}
	settings := node.settings
	created.reports = newReporter(settings.Ingress.ReportInterval, created.nodeReport)
	identity := node.identity()
	// An ingress sends no orders to machines and only needs those that may serve its requests.
	identity.Hello.Subset = true
	created.client = feed.NewClient(settings.Formation.Addresses(), identity, created.view, node.logger)
	created.client.SetDiscovery(created.controlNodes)
	created.client.SetLocation(settings.Location())
	created.reports.client = created.client
	metrics := ingress.NewMetrics(node.registry)
	meter := link.NewMeter(settings.Ingress.LinkMbps)
	ingress.RegisterLink(node.registry, meter)
	created.link = meter
	created.ingress = ingress.New(ingress.Options{
		Node: settings.Node, View: created.view, Logger: node.logger, Metrics: metrics,
		Translator: node.extensions.Translator, MaxWaiting: settings.Ingress.MaxWaiting,
		Budget: retrybudget.Config{
			Ratio: settings.Ingress.RetryRatio, Slack: settings.Ingress.RetrySlack, Window: settings.Ingress.RetryWindow,
		},
		Quota: settings.Quota.Bound(), Sharing: quota.Sharing(settings.Quota.Sharing),
		RequestReport: created.reports.trigger, Propose: created.client.Propose,
		Permit: created.client.Permit, Confirm: created.client.Confirm, Dial: node.dialMachines(), DialRouter: node.dialPeer, Link: meter,
		MemoryBytes: int64(settings.Ingress.MemoryMB * (1 << 20)),
	})
	created.server = ingress.NewServer(created.ingress, created.view, node.logger, metrics, meter, created.ingress.MeasureLink)
	return created
}

// controlNodes returns the control nodes to connect to: the seeds and those in the newest roster.
func (r *ingressRole) controlNodes() []feed.Upstream {
	return append(feed.UpstreamsFromAddresses(r.node.seeds.Load().Addresses()), feed.UpstreamsFromRoster(r.view.Digest().GetRoster())...)
}

func (r *ingressRole) start(ctx context.Context) error {
	r.node.workers.Go(func() { r.client.Run(ctx) })
	r.node.workers.Go(func() { r.client.ConfirmUntilCurrent(ctx, r.view) })
	r.node.workers.Go(func() { r.ingress.Run(ctx) })
	r.node.workers.Go(func() { r.reports.run(ctx) })
	ready := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if r.ingress.Ready() {
			writer.WriteHeader(http.StatusOK)
			return
		}
		writer.WriteHeader(http.StatusServiceUnavailable)
	})
	if address := r.node.settings.Ingress.Ready; address != "" {
		if err := r.node.serveHTTP(ctx, address, ready); err != nil {
			return err
		}
	}
	if address := r.node.settings.Ingress.Forward; address != "" {
		if err := r.node.servePeers(ctx, address, r.link, r.ingress.ForwardHandler()); err != nil {
			return err
		}
	} else {
		r.node.logger.Warn("forwarding_disabled", "setting", "ingress.forward")
	}
	return r.node.serveFeed(ctx, r.node.settings.Ingress.Listen, r.server.Serve)
}

// drain stops the role. It first lets callers move to other nodes, then sends no request to a machine that may be left at the
// timeout, waits for those in flight and ends those left.
func (r *ingressRole) drain() {
	started := time.Now()
	limit := r.node.settings.Ingress.StopTimeout - forcedStopTime
	leave := min(r.node.settings.Ingress.LeaveDelay, limit/leaveDelayDivisor)
	r.node.logger.Info("ingress_draining", "in_flight", r.ingress.InFlight())
	r.ingress.Drain()
	r.server.AnnounceClose()
	time.Sleep(leave)
	r.ingress.EndSending(started.Add(limit))
	r.server.StopAccepting()
	defer func() { r.logDrained(time.Since(started)) }()
	isBusy := func() bool { return r.inFlight() > 0 }
	waitWhile(started.Add(limit), isBusy)
	left := r.inFlight()
	if left == 0 {
		return
	}
	r.node.logger.Warn("drain_timed_out", "in_flight", left)
	r.ingress.Abort()
	waitWhile(started.Add(limit+forcedStopTime/2), isBusy)
}

// logDrained logs how the connections of callers ended. Those that are still open end with the process.
func (r *ingressRole) logDrained(elapsed time.Duration) {
	closed := r.server.Closed()
	r.node.logger.Info("ingress_drained", "elapsed_ms", elapsed.Milliseconds(), "in_flight", r.ingress.InFlight(), "open_busy", r.server.Busy(),
		"closed_idle", closed.Idle, "closed_busy", closed.Busy, "unacknowledged_bytes", closed.UnacknowledgedBytes)
}

// waitWhile waits until a condition ends, or until a deadline.
func waitWhile(deadline time.Time, condition func() bool) {
	for condition() && time.Now().Before(deadline) {
		time.Sleep(stopPollPeriod)
	}
}

// inFlight returns the number of requests that are being served, or of connections whose response has not been written.
func (r *ingressRole) inFlight() int64 {
	return max(r.ingress.InFlight(), int64(r.server.Busy()))
}

func (r *ingressRole) nodeReport(now time.Time) *wirepb.NodeReport {
	r.sequence++
	tenants, full := r.ingress.TenantUses()
	return &wirepb.NodeReport{
		Node: r.node.settings.Node, Zone: r.node.settings.Zone,
		Incarnation: r.node.incarnation, Sequence: r.sequence, Router: true, Draining: !r.ingress.Ready(), ForwardAddress: r.node.settings.Ingress.Forward,
		AppliedRevision: r.view.Revision(), DigestSequence: r.view.Digest().GetSequence(),
		Unreachable: r.ingress.Unreachable(now), Leaving: r.ingress.LeavingMachines(),
		Demand: r.demand.Messages(r.ingress.Demand(now)), Loads: r.ingress.Loads(),
		Answers: r.answers.Messages(r.ingress.Answers()), Limits: r.ingress.MachineLimits(),
		Level: uint32(level.Supported), Tenants: tenants, TenantsFull: full, UptimeMs: uint32(r.ingress.Uptime().Milliseconds()),
	}
}
