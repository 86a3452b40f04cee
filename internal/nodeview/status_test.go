package nodeview

import (
	"slices"
	"testing"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestChangeOfStatusAlone: the spec decoded before goes on to be used, and what is derived from
// the status is new.
func TestChangeOfStatusAlone(t *testing.T) {
	view := New()
	object := &wirepb.Object{
		Kind: string(v1.KindReplica), Name: "r", Revision: 1, Status: []byte(`{"adapters":["a"]}`),
		Spec: []byte(`{"model":"m","version":"v","machine":"machine","phase":"Ready"}`),
	}
	view.Apply(feed.Changes{Events: []*wirepb.WatchEvent{{Object: object}}, Revision: 1})
	before := view.replicas["v"]["r"]
	changed := &wirepb.Object{Kind: object.GetKind(), Name: "r", Revision: 2, Spec: object.GetSpec(), Status: []byte(`{"adapters":["a","b"]}`)}
	view.Apply(feed.Changes{Events: []*wirepb.WatchEvent{{Object: changed, StatusOnly: true}}, Revision: 2})
	after := view.replicas["v"]["r"]
	if after.Spec != before.Spec || !slices.Equal(after.Adapters, []string{"a", "b"}) || view.decidedFor["machine"] != 2 {
		t.Errorf("from %+v to %+v, decided at %d", before, after, view.decidedFor["machine"])
	}
}
