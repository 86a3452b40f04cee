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

func (t *warmingTracker) applyDigest(digest *wirepb.ClusterDigest) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.state.ApplyDigest(t.options.Now(), nodeview.WarmingOf(digest))
}

func (t *warmingTracker) recordFailure(machine string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.state.RecordFailure(t.options.Now(), machine)
}

// machines returns the machines that are warming up.
func (t *warmingTracker) machines() map[string]bool {
	found := map[string]bool{}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.options.Now()
	t.options.View.EachWarmUpCandidate(func(machine string, changed uint64) {
		if t.state.IsWarming(now, machine, changed) {
			found[machine] = true
		}
	})
	return found
}

// isWarming reports whether a machine of a pool counts as warming up.
func (t *warmingTracker) isWarming(pool, machine string) bool {
	changed, may := t.options.View.MayWarmUp(pool, machine)
	if !may {
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.state.IsWarming(t.options.Now(), machine, changed)
}

// reset discards the state of earlier digests.
func (t *warmingTracker) reset() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.state = warming.NewState()
}

// followDigests updates the warm-up state and the limits of machines from digests until ctx is done.
func (i *Ingress) followDigests(ctx context.Context) {
	i.options.View.FollowDigests(ctx, func(digest *wirepb.ClusterDigest) {
		i.permits.warming.applyDigest(digest)
		i.dispatcher.SetWarming(i.permits.warming.machines())
		i.permits.limits.applyDigest(digest)
		i.observeRouters(int(digest.GetRouters()))
	})
}
