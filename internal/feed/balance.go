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
	// rebalanceAfter is how long a client stays with a server while it prefers another,
	// up to twice as long by chance. It is several times what an outage of a server takes.
	rebalanceAfter = 5 * time.Second
	// proveLimit is how long a better server has to send a digest newer than what is known:
	// digests come twice a second.
	proveLimit = 1200 * time.Millisecond
)

// rebalance changes over to a server that the client prefers to the one it follows, once that
// proves to hear from a leader.
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
		case <-time.After(c.rebalanceAfter + rand.N(c.rebalanceAfter)):
		}
		if better, proved := c.proveAny(ctx, c.preferredTo(current.address)); proved {
			c.moveTo(better, current)
			return
		}
	}
}

// moveTo ends the connection that is followed, and has a better one followed next.
func (c *Client) moveTo(better, current connection) {
	c.mutex.Lock()
	c.handover = &better
	c.liveness.reason = DisconnectRebalanced
	c.mutex.Unlock()
	current.conn.Close()
}

// preferredTo returns the servers that the client prefers to an address.
func (c *Client) preferredTo(address string) []Upstream {
	servers := c.servers()
	position := slices.IndexFunc(servers, func(server Upstream) bool { return server.Address == address })
	if position < 0 {
		return servers
	}
	return servers[:position]
}

// proveAny returns a connection to the first of the servers that proves itself.
func (c *Client) proveAny(ctx context.Context, servers []Upstream) (connection, bool) {
	for _, server := range servers {
		if better, proved := c.prove(ctx, server.Address); proved {
			return better, true
		}
	}
	return connection{}, false
}

// prove connects to a server and waits for a digest that is newer than any before. A crowded
// server is passed over.
func (c *Client) prove(ctx context.Context, address string) (connection, bool) {
	ctx, cancel := context.WithTimeout(ctx, proveLimit)
	defer cancel()
	conn, err := c.dial(ctx, address)
	if err != nil {
		return connection{}, false
	}
	if c.isCrowded(conn) {
		conn.Close()
		return connection{}, false
	}
	better := connection{address: address, conn: conn, digests: &DigestReceiver{}}
	stop := context.AfterFunc(ctx, conn.Close)
	better.proof = c.awaitNewer(conn, better.digests)
	if !stop() || better.proof == nil {
		conn.Close()
		return connection{}, false
	}
	return better, true
}

// isCrowded reports whether the server at the other end has too many followers; see crowded.
func (c *Client) isCrowded(conn *wire.Conn) bool {
	c.mutex.Lock()
	routers := c.liveness.newest.GetRouters()
	c.mutex.Unlock()
	return crowded(conn.Followers, routers, len(c.servers()))
}

// awaitNewer returns the first digest that is newer than any that the client has, or nil where
// the connection ends before.
func (c *Client) awaitNewer(conn *wire.Conn, digests *DigestReceiver) *wirepb.ClusterDigest {
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
		// Who holds no digest yet can't tell an old one from news.
		newer := digest != nil && c.liveness.newest != nil && IsNewerDigest(digest, c.liveness.newest)
		c.mutex.Unlock()
		if newer {
			return digest
		}
	}
}
