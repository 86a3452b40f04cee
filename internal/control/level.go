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

// raiseAfter is how long a term lasts before its leader raises the level: twice as long as nodes
// take to find the new leader and to report, also after everything was restarted. What is raised
// too early shuts nodes of an earlier release out while they still serve.
const raiseAfter = 5 * time.Second

// Level is the level of the cluster in force, as applied here.
func (n *Node) Level() level.Level {
	n.stateMutex.RLock()
	defer n.stateMutex.RUnlock()
	return n.member.State.Level()
}

// refuseLevel returns why a process is not let in that does not understand the level in force.
func (n *Node) refuseLevel(hello *wirepb.Hello) string {
	inForce := n.Level()
	if level.Level(hello.GetLevel()) >= inForce {
		return ""
	}
	return fmt.Sprintf("the cluster is at level %d, this release understands %d", inForce, hello.GetLevel())
}

// raiseLevel puts the next level in force once all members and all nodes in touch understand it. A
// cluster whose members have just formed begins with it: no release before has written anything, and
// to record thousands of machines first and their starts afterwards would tell every node of each twice.
func (l *leader) raiseLevel(ctx context.Context) {
	node := l.node
	var inForce level.Level
	isNew := false
	node.Read(func(machine *state.Machine) { inForce, isNew = machine.Level(), machine.Revision() == 0 })
	if inForce == level.Supported || !isNew && node.now()-l.fleet.since < raiseAfter {
		return
	}
	understood, complete := node.understoodLevels()
	if !complete {
		return
	}
	next, raised := level.Next(inForce, understood)
	if !raised {
		return
	}
	command := &wirepb.Command{Body: &wirepb.Command_RaiseLevel{RaiseLevel: &wirepb.RaiseLevelCommand{Level: uint32(next)}}}
	if _, err := l.commit(ctx, command); err != nil {
		node.logger.Warn("level_not_raised", "level", uint32(next), "error", fault.Message(err))
		return
	}
	node.logger.Info("level_raised", "level", uint32(next), "before", uint32(inForce), "asked", len(understood))
}

// understoodLevels returns what the members and the nodes in touch understand. It is not complete
// while a member is not connected.
func (n *Node) understoodLevels() (levels []level.Level, complete bool) {
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
		understood, connected := link.level()
		if !connected {
			return nil, false
		}
		levels = append(levels, understood)
	}
	return levels, true
}

// level returns what the member understands, while it is connected.
func (l *peerLink) level() (understood level.Level, connected bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.conn == nil {
		return level.None, false
	}
	return level.Level(l.conn.Peer.GetLevel()), true
}

// isTooOld reports whether a member that this node dialled does not understand the level in force.
// Entries of the log must not reach it.
func (l *peerLink) isTooOld(conn *wire.Conn) bool {
	refusal := l.node.refuseLevel(conn.Peer)
	if refusal != "" {
		l.node.logger.Warn("member_too_old", "member", l.member.ID, "address", l.member.Address, "reason", refusal)
	}
	return refusal != ""
}
