package feed

import (
	"context"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// connectAttemptDelay is the time to wait for a connection before trying the next server in parallel,
// as in RFC 8305. Servers that are down may not respond at all.
const connectAttemptDelay = 100 * time.Millisecond

// dialFunc connects to a server; see wire.Dial.
type dialFunc func(ctx context.Context, address string) (*wire.Conn, error)

// connection is the outcome of one connection attempt.
type connection struct {
	address string
	conn    *wire.Conn
	err     error
	// digests decodes the digests of this connection, and probeDigest is the newest one received while
	// probing; both are nil without a probe.
	digests     *DigestReceiver
	probeDigest *wirepb.ClusterDigest
	// firstDigest is signaled after each digest; it is nil if nothing waits for one.
	firstDigest chan struct{}
}

func (c *connection) notifyFirstDigest() {
	select {
	case c.firstDigest <- struct{}{}:
	default:
	}
}

// connectAny returns the first connection that is established. It tries a server when the previous
// attempt has failed or has taken longer than connectAttemptDelay.
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
				next.Reset(connectAttemptDelay)
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
	return connection{}, fault.Unavailable.New("none of %d servers accepted a connection", len(servers))
}

// closeOthers closes connections that were established after another one was chosen.
func closeOthers(ended <-chan connection, count int) {
	for range count {
		if attempt := <-ended; attempt.conn != nil {
			attempt.conn.Close()
		}
	}
}
