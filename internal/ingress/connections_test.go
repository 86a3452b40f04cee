package ingress

import (
	"testing"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestIdleConnectionsSharedByRouters checks that the idle and active connections of all routers don't exceed
// the machine's limit, unless that is less than one idle connection per router.
func TestIdleConnectionsSharedByRouters(t *testing.T) {
	for _, test := range []struct{ connections, slots, routers, share int }{
		{360, 64, 7, 8},
		{360, 64, 74, 3},
		{360, 64, 350, 1},
		{100, 6, 7, 8},
		{100, 6, 20, 4},
		{100, 6, 200, 1},
	} {
		share := idleShare(test.connections, test.slots, test.routers)
		if share != test.share {
			t.Errorf("%+v: %d", test, share)
		}
		if most := share*test.routers + activePerSlot*test.slots; share > 1 && most > test.connections {
			t.Errorf("%+v: %d connections in all", test, most)
		}
	}
}

// TestIdleConnectionsFollowPoolLimit checks that the number of idle connections follows the limit of
// the pool.
func TestIdleConnectionsFollowPoolLimit(t *testing.T) {
	view := nodeview.New()
	declared := func(kind v1.Kind, name, spec string) *wirepb.WatchEvent {
		return &wirepb.WatchEvent{Object: &wirepb.Object{Kind: string(kind), Name: name, Revision: 1, Spec: []byte(spec), Status: []byte(`{"phase":"Live"}`)}}
	}
	view.Apply(feed.Changes{Revision: 1, Events: []*wirepb.WatchEvent{
		declared(v1.KindPool, "bounded", `{"maxConnections":100}`), declared(v1.KindPool, "open", `{}`),
		declared(v1.KindMachine, "b", `{"endpoint":"http://10.0.0.1:80","zone":"z","pool":"bounded","slots":10}`),
		declared(v1.KindMachine, "o", `{"endpoint":"http://10.0.0.2:80","zone":"z","pool":"open","slots":10}`),
	}})
	view.ApplyDigest(&wirepb.ClusterDigest{Term: 1, Sequence: 1, Routers: 40, Roster: &wirepb.Roster{}})
	for machine, wanted := range map[string]int{"b": 2, "o": maxIdlePerMachine, "unknown": maxIdlePerMachine} {
		if most := maxIdle(view)(machine); most != wanted {
			t.Errorf("%s: %d", machine, most)
		}
	}
}
