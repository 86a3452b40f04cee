package feed

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// rebalanceAfter is how long a client stays with a server that is not its first choice,
	// up to twice as long by chance. It is several times what an outage of a server takes.
	rebalanceAfter = 5 * time.Second
	// proveLimit is how long a better server has to send a digest newer than what is known:
	// digests come twice a second.
	proveLimit = 1200 * time.Millisecond
)

// byPreference orders servers for a client, each client its own way (rendezvous hashing), so
// that clients spread evenly and those of a server that is lost spread over all others. At a
// first start the first server that is up gets all clients; when it was cut off, all of them
// were without digests until they found out, and then moved on to the same next.
func byPreference(client string, servers []string) []string {
	ordered := slices.Clone(servers)
	weight := func(server string) uint64 { return xxhash.Sum64String(client + "\x00" + server) }
	slices.SortStableFunc(ordered, func(left, right string) int {
		return cmp.Compare(weight(right), weight(left))
	})
	return ordered
}

// rebalance changes over to the client's first choice among the servers once that proves to
// hear from a leader, if the client follows another.
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
		first := c.servers()[0]
		if first == current.address {
			continue
		}
		if better, proved := c.prove(ctx, first); proved {
			c.mutex.Lock()
			c.handover = &better
			c.liveness.reason = LostMoved
			c.mutex.Unlock()
			current.conn.Close()
			return
		}
	}
}

// prove connects to a server and waits for a digest that is newer than any before.
func (c *Client) prove(ctx context.Context, address string) (connection, bool) {
	ctx, cancel := context.WithTimeout(ctx, proveLimit)
	defer cancel()
	conn, err := c.dial(ctx, address)
	if err != nil {
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
		newer := digest != nil && c.liveness.newest != nil && Newer(digest, c.liveness.newest)
		c.mutex.Unlock()
		if newer {
			return digest
		}
	}
}
