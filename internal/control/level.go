package control

import (
	"context"
	"fmt"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/level"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// raiseLevelDelay is the minimum age of a term before its leader raises the level. It exceeds the
// time in which nodes find the new leader and report, as nodes of an earlier release are refused
// after the level is raised.
const raiseLevelDelay = 5 * time.Second

// Level returns the cluster level in force, as of the applied state.
func (n *Node) Level() level.Level {
	n.stateMutex.RLock()
	defer n.stateMutex.RUnlock()
	return n.member.State.Level()
}

// levelRefusal returns why a process that does not support the level in force is refused; empty if
// it is not.
func (n *Node) levelRefusal(hello *wirepb.Hello) string {
	inForce := n.Level()
	if level.Level(hello.GetLevel()) >= inForce {
		return ""
	}
	return fmt.Sprintf("the cluster is at level %d, this release understands %d", inForce, hello.GetLevel())
}

// raiseLevel raises the level once all members and all nodes that reported recently support the next
// one. A new cluster raises it at once, before any state has been written at a lower level: recording
// thousands of machines first and their start times afterwards would send each of them to every node twice.
func (l *leader) raiseLevel(ctx context.Context) {
	node := l.node
	var inForce level.Level
	isNew := false
	node.Read(func(machine *state.Machine) { inForce, isNew = machine.Level(), machine.Revision() == 0 })
	if inForce == level.Supported || !isNew && node.now()-l.dispatcher.startedAt < raiseLevelDelay {
		return
	}
	supported, complete := node.supportedLevels()
	if !complete {
		return
	}
	next, raised := level.Next(inForce, supported)
	if !raised {
		return
	}
	command := &wirepb.Command{Body: &wirepb.Command_RaiseLevel{RaiseLevel: &wirepb.RaiseLevelCommand{Level: uint32(next)}}}
	if _, err := l.commit(ctx, command); err != nil {
		node.logger.Warn("level_not_raised", "level", uint32(next), "error", fault.Message(err))
		return
	}
	node.logger.Info("level_raised", "level", uint32(next), "before", uint32(inForce), "asked", len(supported))
}

// supportedLevels returns the levels supported by the members and by the nodes that report. It is
// incomplete while a member is not connected.
func (n *Node) supportedLevels() (levels []level.Level, complete bool) {
	levels = n.reports.Levels(n.now())
	membership := n.membership.Load()
	for _, id := range append(append([]uint64{}, membership.GetVoters()...), membership.GetLearners()...) {
		if id == n.id {
			continue
		}
		link := n.peers.link(id)
		if link == nil {
			return nil, false
		}
		supported, connected := link.level()
		if !connected {
			return nil, false
		}
		levels = append(levels, supported)
	}
	return levels, true
}

// level returns the level that the member supports; none while it is not connected.
func (l *peerLink) level() (supported level.Level, connected bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.conn == nil {
		return level.None, false
	}
	return level.Level(l.conn.Peer.GetLevel()), true
}

// isUnsupported reports whether the dialed member does not support the level in force. It must then
// not receive log entries.
func (l *peerLink) isUnsupported(conn *wire.Conn) bool {
	refusal := l.node.levelRefusal(conn.Peer)
	if refusal != "" {
		l.node.logger.Warn("member_too_old", "member", l.member.ID, "address", l.member.Address, "reason", refusal)
	}
	return refusal != ""
}
