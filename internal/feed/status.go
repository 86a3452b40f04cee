package feed

import (
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// Most changes are of the status alone: the adapters that a replica holds. What they leave as it
// was is several times as long, and goes to every router.

// withoutHeld returns events as they go to a watcher that holds all objects as they were before.
func withoutHeld(events []*wirepb.WatchEvent) []*wirepb.WatchEvent {
	short := make([]*wirepb.WatchEvent, 0, len(events))
	for _, event := range events {
		if event.GetStatusOnly() {
			object := event.GetObject()
			event = &wirepb.WatchEvent{StatusOnly: true, Object: &wirepb.Object{
				Kind: object.GetKind(), Name: object.GetName(), Revision: object.GetRevision(), Status: object.GetStatus(),
			}}
		}
		short = append(short, event)
	}
	return short
}

// withHeld completes events, in order of revision, by the objects that a watcher holds. Where it
// lacks one, it is out of step with its server.
func withHeld(events []*wirepb.WatchEvent, held func(key state.Key) *wirepb.Object) ([]*wirepb.WatchEvent, error) {
	completed := make([]*wirepb.WatchEvent, 0, len(events))
	newest := map[state.Key]*wirepb.Object{}
	for _, event := range events {
		key := state.KeyOf(event.GetObject())
		if event.GetStatusOnly() {
			before := newest[key]
			if before == nil {
				before = held(key)
			}
			if before == nil {
				return nil, fault.Protocol.New("a change of the status of %s %s, which is not held", key.Kind, key.Name)
			}
			event = &wirepb.WatchEvent{StatusOnly: true, Object: withStatus(before, event.GetObject())}
		}
		newest[key] = event.GetObject()
		completed = append(completed, event)
	}
	return completed, nil
}

// withStatus returns an object with the status and revision of a change.
func withStatus(before, change *wirepb.Object) *wirepb.Object {
	return &wirepb.Object{
		Kind: before.GetKind(), Name: before.GetName(), Revision: change.GetRevision(), CreateRevision: before.GetCreateRevision(),
		Generation: before.GetGeneration(), Spec: before.GetSpec(), Status: change.GetStatus(), Labels: before.GetLabels(),
	}
}
