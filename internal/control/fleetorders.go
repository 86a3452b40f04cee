package control

import (
	"context"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/orders"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// mayOrder reports whether orders may be sent to a machine: the lease is held, this node's grant is
// committed, and all grants of previous holders have expired.
func (d *orderDispatcher) mayOrder(machine string) bool {
	until := d.grantedUntil(machine)
	return d.node.now() < until && d.leads()
}

func (d *orderDispatcher) grantedUntil(machine string) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.grantExpiry[machine]
}

// grant commits a grant that permits orders to a machine. Its lifetime is counted from before the
// proposal, so that it expires here no later than on any node that has applied it.
func (d *orderDispatcher) grant(ctx context.Context, machine string) error {
	until := d.grantedUntil(machine)
	started := d.node.now()
	if started+grantLifetime/2 < until {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	command := &wirepb.GrantCommand{Holder: d.node.holder, Machines: []string{machine}}
	if _, err := d.node.proposeLocally(ctx, &wirepb.Command{Body: &wirepb.Command_Grant{Grant: command}}); err != nil {
		return err
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.grantExpiry[machine] = started + grantLifetime
	return nil
}

func (d *orderDispatcher) order(ctx context.Context, order orders.Order) {
	started := d.node.now()
	outcome := d.send(ctx, order, d.requestGrant(ctx, order.Machine))
	d.node.logger.Info("order", "machine", order.Machine, "operation", string(order.Operation), "model", order.Model,
		"adapter", order.Adapter, "expected", order.Expected, "fence", d.term, "outcome", outcome.String(),
		"took_ms", (d.node.now() - started).Milliseconds())
	d.mutex.Lock()
	d.planner.RecordOutcome(d.node.now(), order, outcome)
	d.mutex.Unlock()
	if order.Adapter != "" {
		time.AfterFunc(orders.AdapterLoadTime, d.node.wakeLeader)
	}
	d.node.wakeLeader()
}

// grantable reports which machines no other node may still be sending orders to. No grant may be
// proposed for the others: it would replace the previous holder in the log before that holder's
// grant has expired.
func (d *orderDispatcher) grantable(machines []string) map[string]bool {
	holders := make(map[string]string, len(machines))
	d.node.Read(func(machine *state.Machine) {
		for _, name := range machines {
			holders[name] = machine.OrderHolder(name)
		}
	})
	now := d.node.now()
	free := make(map[string]bool, len(machines))
	for _, name := range machines {
		free[name] = d.node.grants.MayOrder(now, name, holders[name])
	}
	return free
}

// prepare requests grants for machines and connects to them while the decisions that need orders to
// them are being committed. What fails or is late is repeated for the order.
func (d *orderDispatcher) prepare(ctx context.Context, machines []string) {
	if d.node.engines == nil {
		return
	}
	registered := d.read()
	free := d.grantable(machines)
	for _, machine := range machines {
		declared, known := registered.Machines[machine]
		if !known || !free[machine] {
			continue
		}
		granted := d.requestGrant(ctx, machine)
		d.workers.Go(func() {
			if err := <-granted; err != nil {
				d.node.logger.Info("machine_not_prepared", "machine", machine, "error", fault.Message(err))
			}
		})
		d.workers.Go(func() { d.connect(ctx, machine, declared.Spec.Endpoint) })
	}
}

func (d *orderDispatcher) connect(ctx context.Context, machine, endpoint string) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := d.node.engines.Connect(ctx, machine, endpoint); err != nil {
		d.node.logger.Info("machine_not_prepared", "machine", machine, "error", fault.Message(err))
	}
}

// requestGrant proposes a grant and returns a channel for its outcome. The order connects to the
// machine in the meantime, since requests wait for both.
func (d *orderDispatcher) requestGrant(ctx context.Context, machine string) <-chan error {
	granted := make(chan error, 1)
	d.workers.Go(func() { granted <- d.grant(ctx, machine) })
	return granted
}

// send sends an order once it is connected and the grant is committed.
func (d *orderDispatcher) send(ctx context.Context, order orders.Order, granted <-chan error) orders.Outcome {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	permitted := func() bool {
		select {
		case err := <-granted:
			return err == nil && d.mayOrder(order.Machine)
		case <-ctx.Done():
			return false
		}
	}
	return d.node.engines.Order(ctx, order, d.node.settings.Node, d.term, permitted)
}
