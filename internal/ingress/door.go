package ingress

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"github.com/weldline/weldline/internal/accept"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/overload"
)

const (
	// listenRetry is the pause after a failure to listen again.
	listenRetry = 20 * time.Millisecond
	// pendingGrace is how long connections are still accepted before the listener is closed.
	pendingGrace = time.Millisecond
	// minOpen is the least time between two pauses.
	minOpen = 20 * time.Millisecond
	// freeDelay is the delay of a link without a queue. maxFreeAttempts bounds the measurements until it is seen: a processor
	// quota delays them too.
	freeDelay       = 10 * time.Millisecond
	maxFreeAttempts = 5
	// maxPause is the time after which connections are accepted again even if the link is not free.
	maxPause = 4 * time.Second
	// measureTimeout bounds a measurement of the link.
	measureTimeout = time.Second
)

// door accepts connections, and stops listening for a part of the time while the link is overloaded. Clients are then
// refused at once and send nothing. If a connection was accepted and closed unread, the link would carry its request.
type door struct {
	server   *Server
	listener net.Listener
	duty     overload.Duty
	// opened is when the present span of accepting connections began, closesAt when it ends unless all are accepted.
	opened, closesAt time.Time
}

// Accept returns the next connection.
func (d *door) Accept(ctx context.Context) (net.Conn, error) {
	for {
		now := time.Now()
		isDue := !d.duty.AcceptsAll() && !now.Before(d.closesAt)
		isDelayed := d.duty.AcceptsAll() && now.Sub(d.opened) >= minOpen && d.duty.IsDelayed(d.delay(now))
		switch {
		case isDue || isDelayed:
			// Clients have already sent their requests on the connections that wait.
			if connection, err := d.acceptWithin(ctx, pendingGrace); err == nil {
				return connection, nil
			}
			if err := d.pause(ctx); err != nil {
				return nil, err
			}
		case d.duty.AcceptsAll():
			return accept.Next(ctx, d.listener, d.server.logger)
		default:
			connection, err := d.acceptWithin(ctx, d.closesAt.Sub(now))
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				return connection, err
			}
		}
	}
}

// delay estimates how long the link needs for what it has to carry.
func (d *door) delay(now time.Time) time.Duration {
	load := d.server.admission.link.Load(now)
	return max(load.Backlog(), load.ConnectTime)
}

// acceptWithin is Accept with a timeout, if the listener has timeouts.
func (d *door) acceptWithin(ctx context.Context, timeout time.Duration) (net.Conn, error) {
	limited, hasDeadline := d.listener.(interface{ SetDeadline(time.Time) error })
	if !hasDeadline || limited.SetDeadline(time.Now().Add(timeout)) != nil {
		return accept.Next(ctx, d.listener, d.server.logger)
	}
	connection, err := accept.Next(ctx, d.listener, d.server.logger)
	_ = limited.SetDeadline(time.Time{})
	return connection, err
}

// pause stops listening for a part of the duty cycle. The link is measured meanwhile: little is sent that would show its
// delay.
func (d *door) pause(ctx context.Context) error {
	closed := d.listener
	_ = closed.Close()
	started := time.Now()
	select {
	case <-ctx.Done():
	case <-time.After(d.duty.Refused()):
	}
	delay := d.measure(ctx)
	// Clients that began to connect meanwhile come all at once when the link is free, and must not be accepted together.
	last := delay
	for attempts := 0; last > freeDelay && attempts < maxFreeAttempts && time.Since(started) < maxPause; {
		last = d.measure(ctx)
		if !d.duty.IsDelayed(last) {
			attempts++
		}
	}
	open := d.duty.Adapt(delay)
	d.server.logger.Warn("connections_refused", "delay_ms", delay.Milliseconds(), "refused_ms", time.Since(started).Milliseconds(), "accepted_ms", open.Milliseconds())
	for ctx.Err() == nil && !d.server.isStopped() {
		listener, err := reopen(closed)
		if err == nil {
			d.listener, d.opened = listener, time.Now()
			d.closesAt = d.opened.Add(open)
			d.server.setListener(listener)
			return nil
		}
		d.server.logger.Warn("listen_failed", "address", closed.Addr().String(), "error", fault.Message(err))
		time.Sleep(listenRetry)
	}
	return net.ErrClosed
}

// measure measures the delay of the link.
func (d *door) measure(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, measureTimeout)
	defer cancel()
	return d.server.measure(ctx)
}

// reopener is a listener that can take the place of a closed one of the same kind.
type reopener interface {
	Reopen() (net.Listener, error)
}

// reopen listens on the address of a closed listener.
func reopen(closed net.Listener) (net.Listener, error) {
	if replaceable, isReplaceable := closed.(reopener); isReplaceable {
		return replaceable.Reopen()
	}
	return net.Listen(closed.Addr().Network(), closed.Addr().String())
}
