package ingress

import (
	"context"
	"time"

	"github.com/weldline/weldline/internal/upstream"
)

// linkProbes is the number of connections to machines that a measurement of the link opens.
const linkProbes = 3

// linkProbe is a peer that a measurement of the link opens a connection to.
type linkProbe struct {
	pool          *upstream.Pool
	peer, address string
}

// MeasureLink measures how long packets wait for this node's link, by the fastest of some connections to machines and
// another router, less the time that connections to the same peer take at best. Unless one of them opens before ctx ends,
// the link is as slow as that. It is 0 if there are none to try.
func (i *Ingress) MeasureLink(ctx context.Context) time.Duration {
	delay := i.fastestProbe(ctx)
	i.options.Link.Measured(time.Now(), delay)
	return delay
}

func (i *Ingress) fastestProbe(ctx context.Context) (delay time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	probes := i.linkProbes()
	results := make(chan probeTime, len(probes))
	for _, probe := range probes {
		go func() {
			elapsed, err := probe.pool.ProbeLink(ctx, probe.peer, probe.address)
			if err == nil {
				elapsed = i.options.Link.Connected(time.Now(), probe.peer, elapsed)
			}
			results <- probeTime{delay: elapsed, connected: err == nil}
		}()
	}
	for range probes {
		result := <-results
		if result.connected {
			return result.delay
		}
		delay = result.delay
	}
	return delay
}

// probeTime is by how much a connection took longer than usual, or how long a failed attempt took.
type probeTime struct {
	delay     time.Duration
	connected bool
}

func (i *Ingress) linkProbes() []linkProbe {
	var probes []linkProbe
	for _, name := range i.paths.listed(linkProbes) {
		if machine, known := i.options.View.Machine(name); known {
			probes = append(probes, linkProbe{i.upstream, name, upstream.AddressOf(machine.Spec.Endpoint)})
		}
	}
	if router, found := i.forwarder.any(); found {
		probes = append(probes, linkProbe{i.forwarder.pool, router.Node, router.Address})
	}
	return probes
}
