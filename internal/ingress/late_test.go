package ingress_test

import (
	"context"
	"net"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/ingress"
	"github.com/weldline/weldline/internal/places"
)

// TestLateConnectionIsNoEvidence guards against a router without processor time that takes its machines to be
// unreachable, since its connections to them time out.
func TestLateConnectionIsNoEvidence(t *testing.T) {
	location := places.Location{Zone: "z", Zones: places.NewZoneMap(map[string]string{"z": "north"})}
	router := newDeploymentAt(t, location, func(options *ingress.Options) {
		options.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			time.Sleep(100 * time.Millisecond) // The process notices the timeout late.
			return nil, ctx.Err()
		}
	})
	router.serve(v1.RouteUnrepeatable, 1, 10*time.Second, "10.0.0.1:1")
	got := router.send("POST", "/a/x", "id", "body")
	if got.status != 503 {
		t.Errorf("answered with %d %q (%v)", got.status, got.body, got.err)
	}
	if unreachable := router.handler.Unreachable(time.Now()); len(unreachable) != 0 {
		t.Errorf("unreachable: %v", unreachable)
	}
}
