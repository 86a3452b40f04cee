package feed

import (
	"context"
	"slices"
	"time"

	"github.com/weldline/weldline/internal/places"
)

// A new node knows only a few servers from its settings, without their zones. To avoid transferring
// the whole state between zones, it waits for the first digest, which names all servers, and requests
// the list from one nearby.

const (
	// discoveryDigestTimeout allows for several round trips between regions. A server that has a
	// digest sends it at once.
	discoveryDigestTimeout = 200 * time.Millisecond
	// nearerConnectTimeout bounds the connection attempts to all nearer servers together.
	nearerConnectTimeout = 400 * time.Millisecond
	maxNearerAttempts    = 3
)

// shouldListNearer reports whether the client has no state yet and should look for a server in its own
// zone.
func (c *Client) shouldListNearer(connected connection) bool {
	return c.discover != nil && c.sink.Revision() == 0 && c.location.ProximityOf(connected.conn.Peer.GetZone()) != places.SameZone
}

// switchNearerOrWatch switches to a nearer server named in the first digest, or requests the state
// from the current one.
func (c *Client) switchNearerOrWatch(ctx context.Context, connected connection) {
	select {
	case <-ctx.Done():
		return
	case <-connected.conn.Done():
		return
	case <-connected.firstDigest:
	case <-time.After(discoveryDigestTimeout):
	}
	if nearer, found := c.connectNearer(ctx, connected); found {
		c.switchTo(nearer, connected)
		return
	}
	if c.sendWatchRequest(connected.conn) != nil {
		connected.conn.Close()
	}
}

func (c *Client) connectNearer(ctx context.Context, connected connection) (connection, bool) {
	currentProximity := c.location.ProximityOf(connected.conn.Peer.GetZone())
	nearer := slices.DeleteFunc(c.preferredOver(connected.address), func(server Upstream) bool {
		return server.Zone == "" || c.location.ProximityOf(server.Zone) >= currentProximity
	})
	if len(nearer) == 0 {
		return connection{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, nearerConnectTimeout)
	defer cancel()
	found, err := connectAny(ctx, nearer[:min(len(nearer), maxNearerAttempts)], c.dial)
	if err != nil {
		return connection{}, false
	}
	return found, true
}
