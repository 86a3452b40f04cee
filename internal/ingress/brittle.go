package ingress

import (
	"maps"
	"sync"
	"time"

	"github.com/weldline/weldline/internal/nodeview"
)

// brittleStatement is what a machine last stated about its rejections.
type brittleStatement struct {
	pool string
	// sent is when the request was written whose response stated it.
	sent          time.Duration
	brittle       bool
	maxRejections float64
}

// brittleMachines tracks the machines that fail when they reject too many requests. Machines of a pool
// become brittle together, so one that this router has not heard counts as brittle while another of its
// pool is. It is safe for concurrent use.
type brittleMachines struct {
	options Options
	// publish is called with the rejections per second that each brittle machine bears, after a change.
	publish func(brittle map[string]float64)

	mutex      sync.Mutex
	statements map[string]brittleStatement
	published  map[string]float64
}

func newBrittleMachines(options Options, publish func(brittle map[string]float64)) *brittleMachines {
	return &brittleMachines{options: options, publish: publish, statements: map[string]brittleStatement{}}
}

// observe records the statement, or the lack of one, in the response to a request that was written at the
// given time. Responses overtake each other; the one to the later request holds.
func (b *brittleMachines) observe(pool, machine string, stated Statement, sent time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	current, known := b.statements[machine]
	if !known && !stated.Brittle && len(b.statements) == 0 || known && sent < current.sent {
		return
	}
	b.statements[machine] = brittleStatement{pool: pool, sent: sent, brittle: stated.Brittle, maxRejections: stated.MaxRejections}
	if stated.Brittle != current.brittle || stated.MaxRejections != current.maxRejections || !known {
		b.update()
	}
}

// refresh applies the statements to the machines in the view, and forgets those of unlisted machines.
func (b *brittleMachines) refresh() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.statements) == 0 {
		return
	}
	maps.DeleteFunc(b.statements, func(machine string, _ brittleStatement) bool {
		_, listed := b.options.View.Machine(machine)
		return !listed
	})
	b.update()
}

// update publishes the brittle machines if they have changed. The mutex must be held.
func (b *brittleMachines) update() {
	byPool := map[string]float64{}
	for _, stated := range b.statements {
		if least, known := byPool[stated.pool]; stated.brittle && (!known || stated.maxRejections < least) {
			byPool[stated.pool] = stated.maxRejections
		}
	}
	brittle := map[string]float64{}
	if len(byPool) > 0 {
		b.options.View.EachMachine(func(name string, machine nodeview.Machine) {
			stated, heard := b.statements[name]
			least, poolBrittle := byPool[machine.Spec.Pool]
			switch {
			case heard && stated.brittle:
				brittle[name] = stated.maxRejections
			case !heard && poolBrittle:
				brittle[name] = least
			}
		})
	} else {
		clear(b.statements)
	}
	if maps.Equal(brittle, b.published) {
		return
	}
	b.published = brittle
	b.options.Metrics.brittle.Set(float64(len(brittle)))
	b.options.Logger.Info("machines_brittle", "machines", len(brittle), "pools", len(byPool))
	b.publish(brittle)
}
