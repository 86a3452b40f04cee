package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// rebalanceInterval is the shortest wait before looking for a better server; jitter of up to the
	// same duration is added. It is several times longer than a usual outage of a server.
	rebalanceInterval = 5 * time.Second
	// probeTimeout allows for two digests, which are sent every 500 ms.
	probeTimeout = 1200 * time.Millisecond
)

// rebalance switches to a server that the client prefers to the current one, after a probe has shown
// that it receives digests from the leader.
func (c *Client) rebalance(ctx context.Context, current connection) {
	if c.discover == nil {
		return
	}
	for {
		select {
		case <-current.conn.Done():
			return
		case <-ctx.Done():
			return
		case <-time.After(c.rebalanceInterval + rand.N(c.rebalanceInterval)):
		}
		if candidate, ok := c.probeAny(ctx, c.preferredOver(current.address)); ok {
			c.switchTo(candidate, current)
			return
		}
	}
}

// switchTo closes the current connection and makes the client continue on the next one.
func (c *Client) switchTo(next, current connection) {
	c.mutex.Lock()
	c.handover = &next
	c.liveness.reason = DisconnectRebalanced
	c.mutex.Unlock()
	current.conn.Close()
}

// preferredOver returns the servers that come before an address in the order of preference.
func (c *Client) preferredOver(address string) []Upstream {
	servers := c.servers()
	index := slices.IndexFunc(servers, func(server Upstream) bool { return server.Address == address })
	if index < 0 {
		return servers
	}
	return servers[:index]
}

// probeAny returns a connection to the first server that passes a probe.
func (c *Client) probeAny(ctx context.Context, servers []Upstream) (connection, bool) {
	for _, server := range servers {
		if candidate, ok := c.probe(ctx, server.Address); ok {
			return candidate, true
		}
	}
	return connection{}, false
}

// probe connects to a server and waits for a digest newer than any received so far. It rejects an
// overloaded server.
func (c *Client) probe(ctx context.Context, address string) (connection, bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := c.dial(ctx, address)
	if err != nil {
		return connection{}, false
	}
	if c.isOverloaded(conn) {
		conn.Close()
		return connection{}, false
	}
	candidate := connection{address: address, conn: conn, digests: &DigestReceiver{}}
	stop := context.AfterFunc(ctx, conn.Close)
	candidate.probeDigest = c.receiveNewerDigest(conn, candidate.digests)
	if !stop() || candidate.probeDigest == nil {
		conn.Close()
		return connection{}, false
	}
	return candidate, true
}

// isOverloaded reports whether the server at the other end has too many followers; see
// exceedsFairShare.
func (c *Client) isOverloaded(conn *wire.Conn) bool {
	c.mutex.Lock()
	routers := c.liveness.newest.GetRouters()
	c.mutex.Unlock()
	return exceedsFairShare(conn.Followers, routers, len(c.servers()))
}

// receiveNewerDigest returns the first digest that is newer than any received so far, or nil if the
// connection is closed first.
func (c *Client) receiveNewerDigest(conn *wire.Conn, digests *DigestReceiver) *wirepb.ClusterDigest {
	for {
		envelope, err := conn.Receive()
		if err != nil {
			return nil
		}
		body, isDigest := envelope.GetBody().(*wirepb.Envelope_ClusterDigest)
		if !isDigest {
			continue
		}
		digest := digests.Complete(body.ClusterDigest)
		c.mutex.Lock()
		// Without a digest to compare with, an outdated digest can't be recognized.
		isNewer := digest != nil && c.liveness.newest != nil && IsNewerDigest(digest, c.liveness.newest)
		c.mutex.Unlock()
		if isNewer {
			return digest
		}
	}
}
