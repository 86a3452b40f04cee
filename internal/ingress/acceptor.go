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

// acceptor accepts connections, and stops listening for a part of the time while the link is overloaded. Clients are then
// refused at once and send nothing. If a connection was accepted and closed unread, the link would carry its request.
type acceptor struct {
	server   *Server
	listener *accept.Listener
	cycle    overload.DutyCycle
	// opened is when the present span of accepting connections began, closesAt when it ends unless all are accepted.
	opened, closesAt time.Time
}

// Accept returns the next connection.
func (a *acceptor) Accept(ctx context.Context) (net.Conn, error) {
	for {
		now := time.Now()
		isDue := !a.cycle.AcceptsAll() && !now.Before(a.closesAt)
		isDelayed := a.cycle.AcceptsAll() && now.Sub(a.opened) >= minOpen && a.cycle.IsDelayed(a.delay(now))
		switch {
		case isDue || isDelayed:
			// Clients have already sent their requests on the connections that wait.
			if connection, err := a.acceptWithin(ctx, pendingGrace); !errors.Is(err, os.ErrDeadlineExceeded) {
				return connection, err
			}
			if err := a.pause(ctx); err != nil {
				return nil, err
			}
		case a.cycle.AcceptsAll():
			return accept.Next(ctx, a.listener, a.server.logger)
		default:
			connection, err := a.acceptWithin(ctx, a.closesAt.Sub(now))
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				return connection, err
			}
		}
	}
}

// delay estimates how long the link needs for what it has to carry.
func (a *acceptor) delay(now time.Time) time.Duration {
	load := a.server.admission.link.Load(now)
	return max(load.Backlog(), load.ConnectDelay)
}

// acceptWithin is Accept with a timeout, if the listener has timeouts.
func (a *acceptor) acceptWithin(ctx context.Context, timeout time.Duration) (net.Conn, error) {
	if err := a.listener.SetDeadline(time.Now().Add(timeout)); err != nil {
		return accept.Next(ctx, a.listener, a.server.logger)
	}
	connection, err := accept.Next(ctx, a.listener, a.server.logger)
	_ = a.listener.SetDeadline(time.Time{})
	return connection, err
}

// pause stops listening for a part of the duty cycle. The link is measured meanwhile: little is sent that would show its
// delay.
func (a *acceptor) pause(ctx context.Context) error {
	closed := a.listener
	_ = closed.Close()
	started := time.Now()
	select {
	case <-ctx.Done():
	case <-time.After(a.cycle.Refused()):
	}
	delay := a.measure(ctx)
	// Clients that began to connect meanwhile come all at once when the link is free, and must not be accepted together.
	last := delay
	for attempts := 0; last > freeDelay && attempts < maxFreeAttempts && time.Since(started) < maxPause; {
		last = a.measure(ctx)
		if !a.cycle.IsDelayed(last) {
			attempts++
		}
	}
	open := a.cycle.Adapt(delay)
	a.server.logger.Warn("connections_refused", "delay_ms", delay.Milliseconds(), "refused_ms", time.Since(started).Milliseconds(), "accepted_ms", open.Milliseconds())
	for ctx.Err() == nil && !a.server.isStopped() {
		listener, err := reopen(closed.Listener)
		if err == nil {
			a.listener, a.opened = accept.NewListener(listener), time.Now()
			a.closesAt = a.opened.Add(open)
			a.server.setListener(a.listener)
			return nil
		}
		a.server.logger.Warn("listen_failed", "address", closed.Addr().String(), "error", fault.Message(err))
		time.Sleep(listenRetry)
	}
	return net.ErrClosed
}

// measure measures the delay of the link.
func (a *acceptor) measure(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, measureTimeout)
	defer cancel()
	return a.server.measure(ctx)
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
