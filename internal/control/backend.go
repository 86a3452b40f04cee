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
	// historyLifetime is how old what is known of past demand may be.
	historyLifetime = 10 * time.Second
)

// demandHistory is what the newest leader handed on of demand.
type demandHistory struct {
	// taken is when it came.
	taken    time.Duration
	versions []placement.VersionHistory
}

// pastDemand returns what is known of how versions were asked for, and its age;
// nil if that is nothing, or too old.
func (n *Node) pastDemand() ([]placement.VersionHistory, time.Duration) {
	held := n.history.Load()
	if held == nil {
		return nil, 0
	}
	age := n.now() - held.taken
	if age > historyLifetime {
		return nil, age
	}
	return held.versions, age
}

// Serves implements feed.Backend. A node that joins with an empty disk holds nothing
// before it is a member. One that the leader does not hear gets digests and no entries of
// the log, and passes nothing on. Without a leader no node is better than another.
func (n *Node) Serves() bool {
	return len(n.membership.Load().GetVoters()) > 0 && !n.isUnheard()
}

// isUnheard reports whether a leader is known that does not hear this node.
func (n *Node) isUnheard() bool {
	return n.status.Load().IsolatedFromLeader(n.now())
}

// ChangesAfter implements feed.Backend from this node's copy of the state.
func (n *Node) ChangesAfter(revision uint64) feed.Changes {
	n.stateMutex.RLock()
	defer n.stateMutex.RUnlock()
	return feed.ChangesOf(n.member.State, revision)
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

// Report implements feed.Backend: the leader keeps the reports, a follower
// passes them on.
func (n *Node) Report(reports ...*wirepb.NodeReport) {
	n.takeReports(reports)
	if status := n.status.Load(); status.Leader != status.ID {
		n.reportsOut.Add(reports)
	}
}

// sendReports passes reports on to the leader; they are lost where there is none, as reports may be.
func (n *Node) sendReports(reports []*wirepb.NodeReport) {
	status := n.status.Load()
	if link := n.peers.link(status.Leader); link != nil {
		batch := &wirepb.NodeReportBatch{Reports: reports}
		_ = link.send(&wirepb.Envelope{Body: &wirepb.Envelope_NodeReportBatch{NodeReportBatch: batch}})
	}
}

func (n *Node) takeReports(reports []*wirepb.NodeReport) {
	n.taken.reports.Add(int64(len(reports)))
	urgent := false
	for _, report := range reports {
		urgent = n.reports.Take(n.now(), report) || urgent
		n.mergeLimits(report.GetLimits(), "report")
	}
	if urgent {
		n.wakeLeader()
	}
}

func (n *Node) wakeLeader() {
	select {
	case n.nudge <- struct{}{}:
	default:
	}
}

// takeDigest keeps the newest digest.
func (n *Node) takeDigest(digest *wirepb.ClusterDigest) {
	if !feed.Newer(digest, n.digest.Load()) {
		return
	}
	if history := controller.HistoryOf(digest); history != nil {
		n.history.Store(&demandHistory{taken: n.now(), versions: history})
	}
	if digest.GetLeader() != n.settings.Node {
		n.mergeLimits(digest.GetLimits(), "digest")
		n.limitSnapshot() // Forgets limits that have ended, and machines that are gone.
	}
	n.digest.Store(feed.WithoutHistory(digest))
	n.digestChanged.Notify()
}

// Propose implements feed.Backend: it carries a command to the leader,
// wherever it is.
func (n *Node) Propose(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error) {
	for {
		status := n.status.Load()
		if status.Leader == status.ID {
			return n.proposeLocally(ctx, command)
		}
		if link := n.peers.link(status.Leader); link != nil {
			return n.forwardWhileHeard(ctx, link, command)
		}
		select {
		case <-ctx.Done():
			return nil, fault.Unavailable.New("there is no leader")
		case <-time.After(leaderPollDelay):
		}
	}
}

func (n *Node) proposeLocally(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error) {
	entry := &proposal{command: command, reply: make(chan proposalReply, 1)}
	select {
	case n.proposals <- entry:
	case <-ctx.Done():
		return nil, fault.Unavailable.New("the leader is overloaded")
	}
	select {
	case reply := <-entry.reply:
		return reply.result, reply.err
	case <-ctx.Done():
		return nil, fault.Deadline.New("the command was not committed in time; it may be later")
	}
}

// forwardWhileHeard forwards a command unless the leader does not hear this node, and waits no
// longer once that is so: the caller has other nodes to turn to.
func (n *Node) forwardWhileHeard(ctx context.Context, link *peerLink, command *wirepb.Command) (*wirepb.CommandResult, error) {
	if n.isUnheard() {
		return nil, errUnheard()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go n.cancelWhenUnheard(ctx, cancel)
	return n.forward(ctx, link, command)
}

func errUnheard() error {
	return fault.Unavailable.New("the leader does not hear this node")
}

func (n *Node) cancelWhenUnheard(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(leaderPollDelay)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if n.isUnheard() {
				cancel()
				return
			}
		}
	}
}

func (n *Node) forward(ctx context.Context, link *peerLink, command *wirepb.Command) (*wirepb.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	answer, err := link.call(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_Proposal{Proposal: command}})
	if err != nil {
		return nil, err
	}
	result := answer.GetProposalResult()
	if result.GetCode() == wirepb.ResultCode_RESULT_CODE_UNAVAILABLE && result.GetWrite() == nil {
		return nil, fault.Unavailable.New("%s", result.GetMessage())
	}
	return result, nil
}

// Barrier waits until this node has applied everything that was committed
// when it was called, so that a read after it is not stale.
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

// localStatus answers as leader. The lease is checked after the revision was
// read: had another leader been elected before, the check would fail.
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
	self.Refuse = n.refuseLevel
	return feed.NewServer(n, self, n.settings.Position().Map, n.logger, n.servePeer)
}

// Read calls the function with the state, which it must not keep or change.
func (n *Node) Read(visit func(machine *state.Machine)) {
	n.stateMutex.RLock()
	defer n.stateMutex.RUnlock()
	visit(n.member.State)
}
