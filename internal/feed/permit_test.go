package feed

import (
	"context"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/signal"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// permitBackend permits requests to one machine.
type permitBackend struct {
	digestBackend
	permitted string
}

func (b *permitBackend) Permit(_ context.Context, request *wirepb.PermitRequest) (*wirepb.PermitReply, error) {
	if request.GetMachine() != b.permitted {
		return nil, fault.Unavailable.New("there is no leader")
	}
	return &wirepb.PermitReply{Granted: true}, nil
}

// TestPermitsPassRelays: a router behind a relay gets its permits from the same leader, and no
// permit where the leader could not be asked.
func TestPermitsPassRelays(t *testing.T) {
	backend := &permitBackend{digestBackend: digestBackend{changed: signal.New(), sequence: 1}, permitted: "m"}
	parts := newRunning(t)
	relay := parts.relay(parts.serve("control", backend))
	router := client("router", parts.serve("relay", relay), nullSink{})
	parts.run(router.Run)
	ctx := t.Context()
	for {
		reply, err := router.Permit(ctx, &wirepb.PermitRequest{Machine: "m"})
		if err == nil && reply.GetGranted() {
			break
		}
		if t.Context().Err() != nil {
			t.Fatal("no permit")
		}
		time.Sleep(time.Millisecond)
	}
	if reply, err := router.Permit(ctx, &wirepb.PermitRequest{Machine: "another"}); err == nil {
		t.Errorf("without a leader the answer is %v", reply)
	}
}
