package feed

import (
	"context"
	"slices"
	"time"

	"github.com/weldline/weldline/internal/places"
)

// A node that has just started knows a few servers by its settings, and not where they stand. The whole
// state is the largest thing that it is ever sent; from another zone each of hundreds of nodes would get
// it over links that are paid for, and list again once it moves to a near server. So it first learns of
// the servers by a digest, and lists at a near one.

const (
	// firstDigestLimit is how long a node without any state waits for a digest, which a server
	// that has one sends at once: several round trips between regions, and a small part of the
	// seconds in which a node has to be ready. Without one it lists where it is.
	firstDigestLimit = 200 * time.Millisecond
	// nearerLimit is how long the near servers have to take a connection.
	nearerLimit = 400 * time.Millisecond
	// nearerTries is how many of them are tried.
	nearerTries = 3
)

// listsNearer reports whether the client, which holds nothing, should look for a nearer server
// before it lists.
func (c *Client) listsNearer(connected connection) bool {
	return c.discover != nil && c.sink.Revision() == 0 && c.position.ProximityOf(connected.conn.Peer.GetZone()) != places.SameZone
}

// watchUnlessNearer changes over to a nearer server that the first digest names, or asks the present
// one for the state.
func (c *Client) watchUnlessNearer(ctx context.Context, connected connection) {
	select {
	case <-ctx.Done():
		return
	case <-connected.conn.Done():
		return
	case <-connected.first:
	case <-time.After(firstDigestLimit):
	}
	if nearer, found := c.connectNearer(ctx, connected); found {
		c.moveTo(nearer, connected)
		return
	}
	if c.sendWatch(connected.conn) != nil {
		connected.conn.Close()
	}
}

// connectNearer connects to one of the first servers that stand nearer than the present one.
func (c *Client) connectNearer(ctx context.Context, connected connection) (connection, bool) {
	present := c.position.ProximityOf(connected.conn.Peer.GetZone())
	nearer := slices.DeleteFunc(c.preferredTo(connected.address), func(server Upstream) bool {
		return server.Zone == "" || c.position.ProximityOf(server.Zone) >= present
	})
	if len(nearer) == 0 {
		return connection{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, nearerLimit)
	defer cancel()
	found, err := connectAny(ctx, nearer[:min(len(nearer), nearerTries)], c.dial)
	if err != nil {
		return connection{}, false // The present server is as good as any.
	}
	return found, true
}
