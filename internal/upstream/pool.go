// Package upstream sends HTTP/1.1 requests to machines on kept connections.
//
// The problem: whoever forwards a request that must not run twice has to know
// what may have reached the other side. A general client repeats requests by
// itself on connections that died, takes answers for whatever request is next,
// and keeps connections that it should not.
//
// The mechanism: one request at a time on a connection, sent once, never again
// by this package. The result tells whether anything was written. Connections
// belong to a machine by its name, not by its address, since addresses are used
// again. A connection is kept only if the whole request was written, the whole
// answer read, and nothing came behind it; before it is used again, it is
// looked at for bytes that came meanwhile.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/tcpopt"
)

// Config bounds the connections.
type Config struct {
	// DialTimeout is the longest that a connection may take to come about. Once
	// connections have come about, a new one gets as long as they make likely.
	DialTimeout time.Duration
	// MaxIdle returns how many connections to a machine are kept for later.
	MaxIdle func(machine string) int
	// IdleTimeout is how long one is kept, unless the machine says less.
	IdleTimeout time.Duration
}

// FixedMaxIdle keeps so many connections to every machine.
func FixedMaxIdle(most int) func(machine string) int {
	return func(string) int { return most }
}

// Pool holds the connections to all machines. It is safe for concurrent use.
type Pool struct {
	config Config

	mutex sync.Mutex
	idle  map[string][]*conn
	dials dialLimits
}

// conn is one connection to a machine.
type conn struct {
	machine string
	// address is where the machine was when the connection was made.
	address string
	network net.Conn
	reader  *bufio.Reader
	// until is when the connection must not be used any more.
	until time.Time
	// reused is set once it has carried a request.
	reused bool
}

const readBufferBytes = 4 << 10

// NewPool returns an empty pool.
func NewPool(config Config) *Pool {
	return &Pool{config: config, idle: map[string][]*conn{}, dials: newDialLimits(config.DialTimeout)}
}

// acquire returns a kept connection to a machine, or a new one. A machine that is at another address
// now is another process; what was kept leads to the one before.
func (p *Pool) acquire(ctx context.Context, machine, address string, fresh bool) (*conn, error) {
	for !fresh {
		kept := p.take(machine)
		if kept == nil {
			break
		}
		if kept.address == address && time.Now().Before(kept.until) && kept.isQuiet() {
			return kept, nil
		}
		_ = kept.network.Close()
	}
	network, err := p.Dial(ctx, machine, address)
	if err != nil {
		return nil, fault.Unavailable.Wrap(err, "connecting to machine %s", machine)
	}
	return &conn{machine: machine, address: address, network: network, reader: bufio.NewReaderSize(network, readBufferBytes)}, nil
}

// Preconnect connects to a machine and keeps the connection for a request that is about to come.
func (p *Pool) Preconnect(ctx context.Context, machine, address string) error {
	opened, err := p.acquire(ctx, machine, address, true)
	if err != nil {
		return err
	}
	p.keep(opened, 0)
	return nil
}

// Dial connects to a machine within the time that other connections make likely.
func (p *Pool) Dial(ctx context.Context, machine, address string) (net.Conn, error) {
	p.mutex.Lock()
	limit := p.dials.limit(machine)
	p.mutex.Unlock()
	dialer := net.Dialer{Timeout: limit, Control: tcpopt.Control, KeepAliveConfig: tcpopt.KeepAlive}
	started := time.Now()
	network, err := dialer.DialContext(ctx, "tcp", address)
	took := time.Since(started)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err == nil {
		p.dials.connected(machine, took)
	} else if took >= limit {
		p.dials.timedOut(machine)
	}
	return network, err
}

// take returns the connection that was kept last: the others may then expire.
func (p *Pool) take(machine string) *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kept := p.idle[machine]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	kept[len(kept)-1] = nil
	p.idle[machine] = kept[:len(kept)-1]
	return last
}

// keep puts a connection back, for as long as the machine keeps it open.
func (p *Pool) keep(returned *conn, lifetime time.Duration) {
	if lifetime <= 0 || lifetime > p.config.IdleTimeout {
		lifetime = p.config.IdleTimeout
	}
	returned.until = time.Now().Add(lifetime)
	returned.reused = true
	most := p.config.MaxIdle(returned.machine)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle[returned.machine]) >= most {
		_ = returned.network.Close()
		return
	}
	p.idle[returned.machine] = append(p.idle[returned.machine], returned)
}

// Retain closes the kept connections to all machines but the listed ones, and
// those whose time has passed.
func (p *Pool) Retain(listed func(machine string) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.dials.retain(listed)
	now := time.Now()
	for machine, kept := range p.idle {
		remaining := kept[:0]
		for _, entry := range kept {
			if listed(machine) && now.Before(entry.until) {
				remaining = append(remaining, entry)
				continue
			}
			_ = entry.network.Close()
		}
		clear(kept[len(remaining):])
		p.idle[machine] = remaining
		if len(remaining) == 0 {
			delete(p.idle, machine)
		}
	}
}
