package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/signal"
)

// Direction is a way through a proxy.
type Direction int

// The directions: to the server behind the proxy, and from it.
const (
	To Direction = iota
	From
	directions
)

const (
	// copyBytes is how much is passed on at once.
	copyBytes = 16 << 10
	// proxyDialTimeout bounds connecting to a server on this machine.
	proxyDialTimeout = time.Second
)

// Proxy passes connections on to one server, and disturbs them when told so. It is safe for
// concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	// cuts counts the reasons for which a direction is held back; several may overlap.
	cuts  [directions]int
	delay time.Duration
	links map[*link]bool
	// changed is told of each change of cuts.
	changed *signal.Broadcast
}

// link is a connection through a proxy.
type link struct {
	client, server net.Conn
	// closed ends with the link.
	closed context.Context
	close  context.CancelFunc
	// silent directions never pass anything on again; the proxy's mutex guards it.
	silent [directions]bool
}

// NewProxy listens at an address, whose port may be 0, for connections to a target.
func NewProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Unavailable.Wrap(err, "listening for a proxy")
	}
	created := &Proxy{listener: listener, target: target, links: map[*link]bool{}, changed: signal.New()}
	go created.accept()
	return created, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// Close stops listening and closes all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // Closed.
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, proxyDialTimeout)
	if err != nil {
		reset(client)
		return
	}
	closed, cancel := context.WithCancel(context.Background())
	current := &link{client: client, server: server, closed: closed, close: cancel}
	p.mutex.Lock()
	p.links[current] = true
	p.mutex.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(current, To, server, client) })
	copies.Go(func() { p.copy(current, From, client, server) })
	copies.Wait()
	p.drop(current)
}

// copy passes on what comes one way until either side ends.
func (p *Proxy) copy(current *link, direction Direction, destination, source net.Conn) {
	buffer := make([]byte, copyBytes)
	for {
		count, err := source.Read(buffer)
		if count > 0 && (!p.await(current, direction) || !wrote(destination, buffer[:count])) {
			break
		}
		if err == io.EOF {
			if !p.await(current, direction) || !closeWrite(destination) {
				break
			}
			return
		}
		if err != nil {
			break
		}
	}
	p.drop(current)
}

func wrote(destination net.Conn, content []byte) bool {
	_, err := destination.Write(content)
	return err == nil
}

func closeWrite(destination net.Conn) bool {
	connection, isTCP := destination.(*net.TCPConn)
	return isTCP && connection.CloseWrite() == nil
}

// await holds what is to be passed on as long as it may not, and reports whether it may then.
func (p *Proxy) await(current *link, direction Direction) bool {
	p.mutex.Lock()
	delay := p.delay
	p.mutex.Unlock()
	if delay > 0 {
		select {
		case <-current.closed.Done():
			return false
		case <-time.After(delay):
		}
	}
	for {
		changed := p.changed.Wait()
		p.mutex.Lock()
		held := p.cuts[direction] > 0 || current.silent[direction]
		p.mutex.Unlock()
		if !held {
			return true
		}
		select {
		case <-current.closed.Done():
			return false
		case <-changed:
		}
	}
}

func (p *Proxy) drop(current *link) {
	p.mutex.Lock()
	delete(p.links, current)
	p.mutex.Unlock()
	current.close()
	_ = current.client.Close()
	_ = current.server.Close()
}

// Cut holds back whatever goes one way, on connections old and new, until Heal has been called
// as often.
func (p *Proxy) Cut(direction Direction) {
	p.addCut(direction, 1)
}

// Heal takes a Cut back.
func (p *Proxy) Heal(direction Direction) {
	p.addCut(direction, -1)
}

func (p *Proxy) addCut(direction Direction, change int) {
	p.mutex.Lock()
	p.cuts[direction] += change
	p.mutex.Unlock()
	p.changed.Notify()
}

// AddDelay holds whatever is passed on from now on up for longer, or, below 0, for less long.
func (p *Proxy) AddDelay(delay time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.delay += delay
}

// Silence lets nothing through one way on the connections that stand; new ones work.
func (p *Proxy) Silence(direction Direction) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for each := range p.links {
		each.silent[direction] = true
	}
}

// Reset resets all connections.
func (p *Proxy) Reset() {
	p.mutex.Lock()
	links := make([]*link, 0, len(p.links))
	for each := range p.links {
		links = append(links, each)
	}
	p.mutex.Unlock()
	for _, each := range links {
		reset(each.client)
		reset(each.server)
		each.close()
	}
}

// reset closes a connection without the usual exchange: its other end gets an error.
func reset(connection net.Conn) {
	if tcp, isTCP := connection.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0) // Without it the end is a plain one.
	}
	_ = connection.Close()
}
