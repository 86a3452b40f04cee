// Package upstream sends HTTP/1.1 requests to machines over pooled connections. Unlike net/http, it
// never retries a request, and reports whether anything was written. Invariant: a connection is
// reused only after a complete exchange, only for the machine and address that it was opened for,
// and only if nothing was received in the meantime.
package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/tcpopt"
)

// Config configures a Pool.
type Config struct {
	// DialTimeout is the maximum of the dial timeout, which adapts to the time that connections
	// take.
	DialTimeout time.Duration
	// MaxIdle returns the maximum number of idle connections to a machine.
	MaxIdle func(machine string) int
	// IdleTimeout is how long an idle connection is kept, unless the machine advertises less.
	IdleTimeout time.Duration
	// Dial opens a connection. It defaults to a net.Dialer with the options of package tcpopt.
	Dial DialFunc
	// OnDial, if set, is called with the time that an attempt to open a connection took.
	OnDial func(machine string, elapsed time.Duration, err error)
	// LinkDelay, if set, returns how long packets wait for this node's own link.
	LinkDelay func() time.Duration
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// FixedMaxIdle allows the same number of idle connections to every machine.
func FixedMaxIdle(limit int) func(machine string) int {
	return func(string) int { return limit }
}

// Pool holds the connections to all machines. It is safe for concurrent use.
type Pool struct {
	config Config

	mutex        sync.Mutex
	idle         map[string][]*conn
	dialTimeouts dialTimeouts
}

// conn is one connection to a machine.
type conn struct {
	machine string
	// address is the machine's address at the time of connecting.
	address string
	network *machineConn
	bound   *boundedReader
	reader  *bufio.Reader
	// openedAt is when connecting began.
	openedAt time.Time
	// expiresAt is when an idle connection must no longer be used.
	expiresAt time.Time
	// reused is set if the connection was in the pool.
	reused bool
	// watch closes the connection if anything is received while it is idle.
	watch *idleWatch
}

const readBufferBytes = 4 << 10

// NewPool returns an empty pool.
func NewPool(config Config) *Pool {
	if config.Dial == nil {
		config.Dial = tcpopt.Dialer().DialContext
	}
	return &Pool{config: config, idle: map[string][]*conn{}, dialTimeouts: newDialTimeouts(config.DialTimeout)}
}

// acquire returns an idle connection to a machine, or a new one. Idle connections to another
// address are closed, since they lead to an earlier process of the machine.
func (p *Pool) acquire(ctx context.Context, machine, address string, newConnection bool) (*conn, error) {
	for !newConnection {
		idle := p.takeIdle(machine)
		if idle == nil {
			break
		}
		idle.watch.stop()
		if idle.address == address && time.Now().Before(idle.expiresAt) && idle.hasNoInput() {
			return idle, nil
		}
		_ = idle.network.Close()
	}
	openedAt := time.Now()
	network, err := p.Dial(ctx, machine, address)
	if err != nil && !fault.Is(err, fault.Late) {
		return nil, fault.Unavailable.Wrap(err, "connecting to machine %s", machine)
	}
	if err != nil {
		return nil, err
	}
	checked := newMachineConn(network)
	bound := &boundedReader{network: checked, machine: machine}
	return &conn{
		machine: machine, address: address, network: checked, bound: bound, reader: bufio.NewReaderSize(bound, readBufferBytes), openedAt: openedAt,
	}, nil
}

// Preconnect opens an idle connection to a machine, for a request that is expected.
func (p *Pool) Preconnect(ctx context.Context, machine, address string) error {
	opened, err := p.acquire(ctx, machine, address, true)
	if err != nil {
		return err
	}
	p.putIdle(opened, 0)
	return nil
}

// Probe checks the path to a machine by a request on a new connection, to which any response will do: some
// network paths accept connections and carry nothing. connected reports whether there was a connection.
func (p *Pool) Probe(ctx context.Context, machine, address, target string) (connected bool, err error) {
	response, failure, err := p.Do(ctx, &Request{
		Machine: machine, Address: address, Method: http.MethodGet, Target: target, Host: address, Header: http.Header{}, NewConnection: true,
	})
	if failure != FailureNone {
		return failure != FailureConnect, err
	}
	response.Discard()
	return true, nil
}

// DropIdle closes all idle connections.
func (p *Pool) DropIdle() {
	p.Retain(func(string) bool { return false })
}

// maxLateness is how late a timeout may be noticed without the process counting as short of processor time.
const maxLateness = 25 * time.Millisecond

const (
	// maxLinkDelay is the delay of this node's link from which a timeout says nothing about the machine.
	maxLinkDelay = 25 * time.Millisecond
	// dialDelays is how often the handshake of a connection may wait for the link.
	dialDelays = 3
)

func (p *Pool) linkDelay() time.Duration {
	if p.config.LinkDelay == nil {
		return 0
	}
	return p.config.LinkDelay()
}

// Dial connects to a machine within the adaptive timeout. An error of type fault.Late says nothing about the machine.
func (p *Pool) Dial(ctx context.Context, machine, address string) (net.Conn, error) {
	p.mutex.Lock()
	limit := p.dialTimeouts.timeout(machine)
	p.mutex.Unlock()
	limit += dialDelays * p.linkDelay()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	started := time.Now()
	network, err := p.config.Dial(ctx, "tcp", address)
	elapsed := time.Since(started)
	if p.config.OnDial != nil {
		p.config.OnDial(machine, elapsed, err)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case err == nil:
		p.dialTimeouts.recordConnected(machine, elapsed)
	case tcpopt.IsShortage(err):
		return nil, fault.Late.Wrap(err, "this process has no descriptor for a connection to machine %s", machine)
	case elapsed >= limit+maxLateness:
		return nil, fault.Late.Wrap(err, "this process was %s late to open a connection to machine %s", elapsed-limit, machine)
	case elapsed >= limit && p.linkDelay() > maxLinkDelay:
		return nil, fault.Late.Wrap(err, "this node's link was too slow to open a connection to machine %s", machine)
	case elapsed >= limit:
		p.dialTimeouts.recordTimeout(machine)
	}
	return network, err
}

// ProbeLink opens a connection to a machine and closes it. Only ctx bounds its time, which it returns.
func (p *Pool) ProbeLink(ctx context.Context, machine, address string) (elapsed time.Duration, err error) {
	started := time.Now()
	network, err := p.config.Dial(ctx, "tcp", address)
	elapsed = time.Since(started)
	if err != nil {
		return elapsed, fault.Unavailable.Wrap(err, "connecting to machine %s", machine)
	}
	_ = network.Close()
	return elapsed, nil
}

// takeIdle returns the most recently used connection, so that the others may expire.
func (p *Pool) takeIdle(machine string) *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[machine]
	if len(idle) == 0 {
		return nil
	}
	last := idle[len(idle)-1]
	idle[len(idle)-1] = nil
	p.idle[machine] = idle[:len(idle)-1]
	return last
}

// putIdle returns a connection to the pool, for as long as the machine keeps it open.
func (p *Pool) putIdle(returned *conn, lifetime time.Duration) {
	if lifetime <= 0 || lifetime > p.config.IdleTimeout {
		lifetime = p.config.IdleTimeout
	}
	returned.expiresAt = time.Now().Add(lifetime)
	returned.reused = true
	maxIdle := p.config.MaxIdle(returned.machine)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle[returned.machine]) >= maxIdle {
		_ = returned.network.Close()
		return
	}
	p.idle[returned.machine] = append(p.idle[returned.machine], returned)
	returned.watch = watchIdle(returned.network, func() { p.dropIdle(returned) })
}

// dropIdle closes a connection if it is idle.
func (p *Pool) dropIdle(dropped *conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[dropped.machine]
	position := slices.Index(idle, dropped)
	if position < 0 {
		return // It is in use again; acquire checks it for input.
	}
	_ = dropped.network.Close()
	p.idle[dropped.machine] = slices.Delete(idle, position, position+1)
	if len(p.idle[dropped.machine]) == 0 {
		delete(p.idle, dropped.machine)
	}
}

// Retain closes idle connections that have expired or whose machine is not listed.
func (p *Pool) Retain(isListed func(machine string) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.dialTimeouts.retain(isListed)
	now := time.Now()
	for machine, idle := range p.idle {
		remaining := idle[:0]
		for _, entry := range idle {
			if isListed(machine) && now.Before(entry.expiresAt) {
				remaining = append(remaining, entry)
				continue
			}
			_ = entry.network.Close()
		}
		clear(idle[len(remaining):])
		p.idle[machine] = remaining
		if len(remaining) == 0 {
			delete(p.idle, machine)
		}
	}
}
