package control

import (
	"context"
	"time"

	"github.com/weldline/weldline/internal/controller"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/placement"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	leaderPollDelay = 20 * time.Millisecond
	historyLifetime = 10 * time.Second
)

// demandHistory is the demand history received from the latest leader.
type demandHistory struct {
	receivedAt time.Duration
	versions   []placement.VersionHistory
}

// recentDemand returns the known demand history of versions and its age; nil if there is none or it
// is too old.
func (n *Node) recentDemand() ([]placement.VersionHistory, time.Duration) {
	history := n.history.Load()
	if history == nil {
		return nil, 0
	}
	age := n.now() - history.receivedAt
	if age > historyLifetime {
		return nil, age
	}
	return history.versions, age
}

// Ready implements feed.Backend. A node does not serve before it is a member, nor while its
// messages do not reach the leader: it may then lag behind the log and can't forward calls. It does
// serve without a leader, since every other node is in the same situation.
func (n *Node) Ready() bool {
	return len(n.membership.Load().GetVoters()) > 0 && !n.isIsolated()
}

// isIsolated reports whether a leader is known that this node's messages do not reach.
func (n *Node) isIsolated() bool {
	return n.status.Load().IsolatedFromLeader(n.now())
}

// ChangesAfter implements feed.Backend from this node's copy of the state.
func (n *Node) ChangesAfter(revision uint64) feed.Changes {
	n.stateMutex.RLock()
	defer n.stateMutex.RUnlock()
	return feed.ChangesSince(n.member.State, revision)
}

// Changed implements feed.Backend.
func (n *Node) Changed() <-chan struct{} {
	return n.changed.Wait()
}

// Digest implements feed.Backend.
func (n *Node) Digest() *wirepb.ClusterDigest {
	return n.digest.Load()
}

// DigestChanged implements feed.Backend.
func (n *Node) DigestChanged() <-chan struct{} {
	return n.digestChanged.Wait()
}

// Report implements feed.Backend. A follower forwards the reports to the leader.
func (n *Node) Report(reports ...*wirepb.NodeReport) {
	n.receiveReports(reports)
	if status := n.status.Load(); status.Leader != status.ID {
		n.reportsOut.Add(reports)
	}
}

// sendReports sends reports to the leader. They are dropped if it is not connected.
func (n *Node) sendReports(reports []*wirepb.NodeReport) {
	status := n.status.Load()
	if link := n.peers.link(status.Leader); link != nil {
		batch := &wirepb.NodeReportBatch{Reports: reports}
		_ = link.send(&wirepb.Envelope{Body: &wirepb.Envelope_NodeReportBatch{NodeReportBatch: batch}})
	}
}

func (n *Node) receiveReports(reports []*wirepb.NodeReport) {
	n.counters.reports.Add(int64(len(reports)))
	urgent := false
	for _, report := range reports {
		urgent = n.reports.Add(n.now(), report) || urgent
		n.mergeLimits(report.GetLimits(), "report")
	}
	if urgent {
		n.wakeLeader()
	}
}

func (n *Node) wakeLeader() {
	select {
	case n.leaderWakeup <- struct{}{}:
	default:
	}
}

// receiveDigest keeps the digest if it is newer than the current one.
func (n *Node) receiveDigest(digest *wirepb.ClusterDigest) {
	if !feed.IsNewerDigest(digest, n.digest.Load()) {
		return
	}
	if history := controller.HistoryOf(digest); history != nil {
		n.history.Store(&demandHistory{receivedAt: n.now(), versions: history})
	}
	if digest.GetLeader() != n.settings.Node {
		n.mergeLimits(digest.GetLimits(), "digest")
		n.limitSnapshot() // Drops ended limits and removed machines.
	}
	n.digest.Store(feed.WithoutHistory(digest))
	n.digestChanged.Notify()
}

// Propose implements feed.Backend: it commits a command through the leader.
func (n *Node) Propose(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error) {
	for {
		status := n.status.Load()
		if status.Leader == status.ID {
			return n.proposeLocally(ctx, command)
		}
		if link := n.peers.link(status.Leader); link != nil {
			return n.forwardUnlessIsolated(ctx, link, command)
		}
		select {
		case <-ctx.Done():
			return nil, fault.Unavailable.New("there is no leader")
		case <-time.After(leaderPollDelay):
		}
	}
}

func (n *Node) proposeLocally(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error) {
	pending := &proposal{command: command, reply: make(chan proposalReply, 1)}
	select {
	case n.proposals <- pending:
	case <-ctx.Done():
		return nil, fault.Unavailable.New("the leader is overloaded")
	}
	select {
	case reply := <-pending.reply:
		return reply.result, reply.err
	case <-ctx.Done():
		return nil, fault.Deadline.New("the command was not committed in time; it may be later")
	}
}

// forwardUnlessIsolated forwards a command and gives up as soon as this node's messages do not
// reach the leader, so that the caller can try another node.
func (n *Node) forwardUnlessIsolated(ctx context.Context, link *peerLink, command *wirepb.Command) (*wirepb.CommandResult, error) {
	if n.isIsolated() {
		return nil, errIsolated()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go n.cancelWhenIsolated(ctx, cancel)
	return n.forward(ctx, link, command)
}

func errIsolated() error {
	return fault.Unavailable.New("the leader does not hear this node")
}

func (n *Node) cancelWhenIsolated(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(leaderPollDelay)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if n.isIsolated() {
				cancel()
				return
			}
		}
	}
}

func (n *Node) forward(ctx context.Context, link *peerLink, command *wirepb.Command) (*wirepb.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	reply, err := link.call(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_Proposal{Proposal: command}})
	if err != nil {
		return nil, err
	}
	result := reply.GetProposalResult()
	if result.GetCode() == wirepb.ResultCode_RESULT_CODE_UNAVAILABLE && result.GetWrite() == nil {
		return nil, fault.Unavailable.New("%s", result.GetMessage())
	}
	return result, nil
}

// Barrier waits until this node has applied everything that was committed when it was called, so
// that a following read is linearizable.
func (n *Node) Barrier(ctx context.Context) error {
	status, err := feed.AwaitRevision(ctx, n, leaderPollDelay)
	if err != nil {
		return err
	}
	return n.waitForRevision(ctx, status.GetRevision())
}

func (n *Node) waitForRevision(ctx context.Context, revision uint64) error {
	for {
		changed := n.Changed()
		if n.Revision() >= revision {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.Unavailable.New("this node is behind revision %d", revision)
		}
	}
}

// Status returns the leader's view of the cluster.
func (n *Node) Status(ctx context.Context, request *wirepb.StatusRequest) (*wirepb.StatusReply, error) {
	status := n.status.Load()
	if status.Leader == status.ID {
		return n.localStatus(request)
	}
	link := n.peers.link(status.Leader)
	if link == nil {
		return nil, fault.Unavailable.New("there is no leader")
	}
	ctx, cancel := context.WithTimeout(ctx, n.settings.Control.ElectionTimeout)
	defer cancel()
	answer, err := link.call(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_StatusRequest{StatusRequest: request}})
	if err != nil {
		return nil, err
	}
	reply := answer.GetStatusReply()
	if reply.GetLeader() == "" {
		return nil, fault.Unavailable.New("the leader holds no lease")
	}
	return reply, nil
}

// localStatus replies as leader. It checks the lease after reading the revision: had another leader
// been elected before the read, the check would fail.
func (n *Node) localStatus(request *wirepb.StatusRequest) (*wirepb.StatusReply, error) {
	revision := n.Revision()
	status := n.status.Load()
	if !n.leads() {
		return nil, fault.Unavailable.New("this node holds no lease")
	}
	reply := &wirepb.StatusReply{
		Term: status.Term, Leader: n.settings.Node, Revision: revision,
		Voters: status.Voters, Learners: status.Learners, Level: uint32(n.Level()),
	}
	if !request.GetRevisionOnly() {
		reply.Nodes = n.reports.States(n.now())
	}
	return reply, nil
}

// NewServer returns the server of this node's feed.
func (n *Node) NewServer() *feed.Server {
	self := n.self
	self.Refuse = n.levelRefusal
	return feed.NewServer(n, self, n.settings.Location().Zones, n.logger, n.servePeer)
}

// Read calls visit with the state, which visit must not retain or modify.
func (n *Node) Read(visit func(machine *state.Machine)) {
	n.stateMutex.RLock()
	defer n.stateMutex.RUnlock()
	visit(n.member.State)
}
