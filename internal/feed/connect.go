package feed

import (
	"context"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// connectStagger is how long a server has to answer before the next is tried
// beside it: one without power says nothing, and must not hold up a node that has
// others to turn to. (The idea is that of RFC 8305.)
const connectStagger = 100 * time.Millisecond

// dialFunc connects to a server; see wire.Dial.
type dialFunc func(ctx context.Context, address string) (*wire.Conn, error)

// connection is how one attempt to connect ended.
type connection struct {
	address string
	conn    *wire.Conn
	err     error
	// digests holds what was received of digests before the connection is followed, proof the
	// newest of them; nil if nothing was.
	digests *DigestReceiver
	proof   *wirepb.ClusterDigest
	// first is told once a digest has been taken; nil where nobody waits for that.
	first chan struct{}
}

// noteFirst tells that a digest has been taken.
func (c *connection) noteFirst() {
	select {
	case c.first <- struct{}{}:
	default:
	}
}

// connectAny connects to the first of the servers that answers. Each is tried
// when the one before has failed, or has not answered for connectStagger.
func connectAny(ctx context.Context, servers []Upstream, dial dialFunc) (connection, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan connection, len(servers))
	next := time.NewTimer(0)
	defer next.Stop()
	started, failed := 0, 0
	for failed < len(servers) {
		select {
		case <-next.C:
			address := servers[started].Address
			started++
			go func() {
				conn, err := dial(ctx, address)
				ended <- connection{address: address, conn: conn, err: err}
			}()
			if started < len(servers) {
				next.Reset(connectStagger)
			}
		case attempt := <-ended:
			if attempt.err == nil {
				go closeOthers(ended, started-failed-1)
				return attempt, nil
			}
			failed++
			if started < len(servers) {
				next.Reset(0)
			}
		}
	}
	return connection{}, fault.Unavailable.New("none of %d servers answered", len(servers))
}

// closeOthers closes the connections that came about too late.
func closeOthers(ended <-chan connection, count int) {
	for range count {
		if attempt := <-ended; attempt.conn != nil {
			attempt.conn.Close()
		}
	}
}
