package ingress

import (
	"context"
	"sync"

	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/warming"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// warmingGuard knows which machines warm up.
type warmingGuard struct {
	options Options

	mutex sync.Mutex
	state *warming.State
}

func newWarmingGuard(options Options) *warmingGuard {
	return &warmingGuard{options: options, state: warming.NewState()}
}

func (g *warmingGuard) takeDigest(digest *wirepb.ClusterDigest) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.state.ApplyDigest(g.options.Now(), nodeview.WarmingOf(digest))
}

func (g *warmingGuard) noteFailure(machine string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.state.RecordFailure(g.options.Now(), machine)
}

// machines returns those that warm up.
func (g *warmingGuard) machines() map[string]bool {
	found := map[string]bool{}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.options.Now()
	g.options.View.EachWarmUpCandidate(func(machine string, changed uint64) {
		if g.state.IsWarming(now, machine, changed) {
			found[machine] = true
		}
	})
	return found
}

// warms reports whether a machine of a pool is taken to warm up.
func (g *warmingGuard) warms(pool, machine string) bool {
	changed, may := g.options.View.MayWarmUp(pool, machine)
	if !may {
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.state.IsWarming(g.options.Now(), machine, changed)
}

// forget drops what digests said: this machine has slept since.
func (g *warmingGuard) forget() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.state = warming.NewState()
}

// followDigests keeps what is known of warming machines and of limits up to date until ctx ends.
func (i *Ingress) followDigests(ctx context.Context) {
	i.options.View.FollowDigests(ctx, func(digest *wirepb.ClusterDigest) {
		i.permits.warming.takeDigest(digest)
		i.dispatcher.SetWarming(i.permits.warming.machines())
		i.permits.limits.takeDigest(digest)
	})
}
