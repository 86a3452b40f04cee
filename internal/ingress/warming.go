package ingress

import (
	"context"
	"sync"

	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/warming"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// warmingTracker tracks which machines are warming up.
type warmingTracker struct {
	options Options

	mutex sync.Mutex
	state *warming.State
}

func newWarmingTracker(options Options) *warmingTracker {
	return &warmingTracker{options: options, state: warming.NewState()}
}

func (g *warmingTracker) applyDigest(digest *wirepb.ClusterDigest) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.state.TakeDigest(g.options.Now(), nodeview.WarmingOf(digest))
}

func (g *warmingTracker) recordFailure(machine string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.state.NoteFailure(g.options.Now(), machine)
}

// machines returns the machines that are warming up.
func (g *warmingTracker) machines() map[string]bool {
	found := map[string]bool{}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.options.Now()
	g.options.View.EachThatMayWarmUp(func(machine string, changed uint64) {
		if g.state.Warms(now, machine, changed) {
			found[machine] = true
		}
	})
	return found
}

// isWarming reports whether a machine of a pool counts as warming up.
func (g *warmingTracker) isWarming(pool, machine string) bool {
	changed, may := g.options.View.MayWarmUp(pool, machine)
	if !may {
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.state.Warms(g.options.Now(), machine, changed)
}

// reset discards the state of earlier digests.
func (g *warmingTracker) reset() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.state = warming.NewState()
}

// followDigests updates the warm-up state and the limits of machines from digests until ctx is done.
func (i *Ingress) followDigests(ctx context.Context) {
	i.options.View.FollowDigests(ctx, func(digest *wirepb.ClusterDigest) {
		i.permits.warming.applyDigest(digest)
		i.dispatcher.SetWarming(i.permits.warming.machines())
		i.permits.limits.applyDigest(digest)
	})
}
