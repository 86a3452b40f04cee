package feed

import (
	"context"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/signal"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

type permitBackend struct {
	digestBackend
	permitted string
}

func (b *permitBackend) Permit(_ context.Context, request *wirepb.PermitRequest) (*wirepb.PermitReply, error) {
	if request.GetMachine() != b.permitted {
		return nil, fault.Unavailable.New("no leader is available")
	}
	return &wirepb.PermitReply{Granted: true}, nil
}

// TestRelayForwardsPermits checks that a router behind a relay gets permits from the leader, and an
// error if the leader can't be reached.
func TestRelayForwardsPermits(t *testing.T) {
	backend := &permitBackend{digestBackend: digestBackend{changed: signal.New(), sequence: 1}, permitted: "m"}
	env := newTestEnvironment(t)
	relay := env.startRelay(env.startServer("control", backend))
	router := newTestClient("router", env.startServer("relay", relay), nullSink{})
	env.start(router.Run)
	ctx := t.Context()
	for {
		reply, err := router.Permit(ctx, &wirepb.PermitRequest{Machine: "m"})
		if err == nil && reply.GetGranted() {
			break
		}
		if t.Context().Err() != nil {
			t.Fatal("no permit before the test ended")
		}
		time.Sleep(time.Millisecond)
	}
	if reply, err := router.Permit(ctx, &wirepb.PermitRequest{Machine: "another"}); err == nil {
		t.Errorf("got a reply without a leader: %v", reply)
	}
}
