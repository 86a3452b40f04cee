package nodeview

import (
	"testing"

	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// Guards against a restarted node that never serves: whatever makes the view current must wake those who wait for that.
func TestCurrentViewWakesWaiters(t *testing.T) {
	digest := func(sequence uint64) *wirepb.ClusterDigest {
		return &wirepb.ClusterDigest{Term: 1, Sequence: sequence, Revision: 7}
	}
	list := func(view *View) { view.Apply(feed.Changes{Reset: true, Revision: 7}) }
	for _, test := range []struct {
		name  string
		steps []func(*View)
	}{
		{"by a digest", []func(*View){list, func(v *View) { v.ApplyDigest(digest(1)) }, func(v *View) { v.ApplyDigest(digest(2)) }}},
		{"by a confirmation", []func(*View){list, func(v *View) { v.Confirm(7) }}},
		{"by a change", []func(*View){func(v *View) { v.Confirm(7) }, list}},
		{"by a change after digests", []func(*View){func(v *View) { v.ApplyDigest(digest(1)) }, func(v *View) { v.ApplyDigest(digest(2)) }, list}},
	} {
		view := New()
		for number, step := range test.steps {
			changed := view.Changed()
			step(view)
			isLast := number == len(test.steps)-1
			if view.Current() != isLast {
				t.Fatalf("%s: after step %d the view is current: %t", test.name, number, view.Current())
			}
			if !isLast {
				continue
			}
			select {
			case <-changed:
			default:
				t.Errorf("%s: the view became current, and nobody was told", test.name)
			}
		}
	}
}
