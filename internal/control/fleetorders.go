package control

import (
	"context"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/orders"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// mayOrder reports whether a machine may be given orders now: the lease is held,
// a grant of its own stands in the log, and whoever had one before has had none
// for long enough.
func (f *fleet) mayOrder(machine string) bool {
	until := f.grantedUntil(machine)
	return f.node.now() < until && f.leads()
}

// grantedUntil is until when a machine may be given orders under the newest grant.
func (f *fleet) grantedUntil(machine string) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.granted[machine]
}

// grant makes a machine take orders of this leader. The time counts from before
// the proposal: whoever holds the entry has got it later.
func (f *fleet) grant(ctx context.Context, machine string) error {
	until := f.grantedUntil(machine)
	started := f.node.now()
	if started+grantLifetime/2 < until {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	command := &wirepb.GrantCommand{Holder: f.node.holder, Machines: []string{machine}}
	if _, err := f.node.proposeLocally(ctx, &wirepb.Command{Body: &wirepb.Command_Grant{Grant: command}}); err != nil {
		return err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.granted[machine] = started + grantLifetime
	return nil
}

func (f *fleet) order(ctx context.Context, order orders.Order) {
	started := f.node.now()
	outcome := f.send(ctx, order, f.beginGrant(ctx, order.Machine))
	f.node.logger.Info("order", "machine", order.Machine, "operation", string(order.Operation), "model", order.Model,
		"adapter", order.Adapter, "expected", order.Expected, "fence", f.term, "outcome", outcome.String(),
		"took_ms", (f.node.now() - started).Milliseconds())
	f.mutex.Lock()
	f.core.RecordOutcome(f.node.now(), order, outcome)
	f.mutex.Unlock()
	if order.Adapter != "" {
		time.AfterFunc(orders.AdapterLoadTime, f.node.wakeLeader)
	}
	f.node.wakeLeader()
}

// freeOf tells which machines nobody else may still give orders to. For the others no grant may
// be asked: it would make the log forget the holder before, whose time is not over.
func (f *fleet) freeOf(machines []string) map[string]bool {
	holders := make(map[string]string, len(machines))
	f.node.Read(func(machine *state.Machine) {
		for _, name := range machines {
			holders[name] = machine.Holder(name)
		}
	})
	now := f.node.now()
	free := make(map[string]bool, len(machines))
	for _, name := range machines {
		free[name] = f.node.grants.MayOrder(now, name, holders[name])
	}
	return free
}

// prepare asks for the grants of machines, and connects to them, while the decisions that they
// will get orders for are being committed. Whatever does not come about in time is made for the
// order itself.
func (f *fleet) prepare(ctx context.Context, machines []string) {
	if f.node.engines == nil {
		return
	}
	registered := f.read()
	free := f.freeOf(machines)
	for _, machine := range machines {
		declared, known := registered.Machines[machine]
		if !known || !free[machine] {
			continue
		}
		granted := f.beginGrant(ctx, machine)
		f.workers.Go(func() {
			if err := <-granted; err != nil {
				f.node.logger.Info("machine_not_prepared", "machine", machine, "error", fault.Message(err))
			}
		})
		f.workers.Go(func() { f.connect(ctx, machine, declared.Spec.Endpoint) })
	}
}

func (f *fleet) connect(ctx context.Context, machine, endpoint string) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := f.node.engines.Connect(ctx, machine, endpoint); err != nil {
		f.node.logger.Info("machine_not_prepared", "machine", machine, "error", fault.Message(err))
	}
}

// beginGrant asks the log for a grant and returns the channel that tells how that ended. The
// connection to the machine is made meanwhile: with voters and machines in several regions each
// of the two takes tens of milliseconds, and requests wait for the order.
func (f *fleet) beginGrant(ctx context.Context, machine string) <-chan error {
	granted := make(chan error, 1)
	f.workers.Go(func() { granted <- f.grant(ctx, machine) })
	return granted
}

// send sends an order once a connection stands and the grant is in the log; without the grant
// nothing is written to the machine.
func (f *fleet) send(ctx context.Context, order orders.Order, granted <-chan error) orders.Outcome {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	permitted := func() bool {
		select {
		case err := <-granted:
			return err == nil && f.mayOrder(order.Machine)
		case <-ctx.Done():
			return false
		}
	}
	return f.node.engines.Order(ctx, order, f.node.settings.Node, f.term, permitted)
}
