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

// Direction is a direction of traffic through a Proxy.
type Direction int

// The directions, as seen from the proxied server.
const (
	ToServer Direction = iota
	FromServer
	directionCount
)

const (
	copyBufferBytes  = 16 << 10
	proxyDialTimeout = time.Second
)

// Proxy forwards TCP connections to one server and can block, silence, delay and reset them. It is safe for
// concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	// blocks counts the calls of Block that are in force, by direction.
	blocks      [directionCount]int
	delay       time.Duration
	connections map[*connection]bool
	// partitions are the hosts that are cut off from the server.
	partitions map[string]PartitionKind
	// changed is notified after each change of blocks.
	changed *signal.Broadcast
}

type connection struct {
	client, server net.Conn
	// host is the client's IP address.
	host string
	// closed is cancelled when the connection is dropped.
	closed context.Context
	close  context.CancelFunc
	// silent directions forward nothing any more; guarded by the proxy's mutex.
	silent [directionCount]bool
}

// NewProxy listens on an address, whose port may be 0, and forwards connections to target.
func NewProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Unavailable.Wrap(err, "opening the listener of a proxy")
	}
	created := &Proxy{listener: listener, target: target, connections: map[*connection]bool{}, partitions: map[string]PartitionKind{}, changed: signal.New()}
	go created.accept()
	return created, nil
}

// Address returns the address that the proxy listens on.
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
			return // The listener is closed.
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	host, _, err := net.SplitHostPort(client.RemoteAddr().String())
	if err != nil {
		reset(client)
		return
	}
	switch kind, partitioned := p.partitionOf(host); {
	case partitioned && kind == PartitionAccepts:
		p.hold(client, host)
		return
	case partitioned:
		reset(client)
		return
	}
	// The server sees the client's address.
	dialer := net.Dialer{Timeout: proxyDialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	server, err := dialer.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	closed, cancel := context.WithCancel(context.Background())
	current := &connection{client: client, server: server, host: host, closed: closed, close: cancel}
	p.mutex.Lock()
	p.connections[current] = true
	p.mutex.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(current, ToServer, server, client) })
	copies.Go(func() { p.copy(current, FromServer, client, server) })
	copies.Wait()
	p.drop(current)
}

// copy forwards one direction until either side closes. A reset, or the loss of what was held back, resets
// both sides: a close would look like the end of a response that has no other mark of its end.
func (p *Proxy) copy(current *connection, direction Direction, destination, source net.Conn) {
	buffer := make([]byte, copyBufferBytes)
	for {
		count, err := source.Read(buffer)
		if count > 0 && (!p.awaitRelease(current, direction) || !writeAll(destination, buffer[:count])) {
			break
		}
		if err == io.EOF {
			if !p.awaitRelease(current, direction) || !closeWrite(destination) {
				break
			}
			return
		}
		if err != nil {
			break
		}
	}
	p.resetWhere(func(existing *connection) bool { return existing == current })
	p.drop(current)
}

func writeAll(destination net.Conn, content []byte) bool {
	_, err := destination.Write(content)
	return err == nil
}

func closeWrite(destination net.Conn) bool {
	connection, isTCP := destination.(*net.TCPConn)
	return isTCP && connection.CloseWrite() == nil
}

// awaitRelease blocks while a direction is delayed, blocked or silent. It returns false once the connection
// is closed.
func (p *Proxy) awaitRelease(current *connection, direction Direction) bool {
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
	wasPartitioned := false
	for {
		changed := p.changed.Wait()
		p.mutex.Lock()
		kind, partitioned := p.partitions[current.host]
		partitioned = partitioned && kind.cutsOpen()
		blocked := p.blocks[direction] > 0 || current.silent[direction] || partitioned
		p.mutex.Unlock()
		if !blocked {
			// A partition outlasts TCP_USER_TIMEOUT: the sender has given up what it held back.
			return !wasPartitioned
		}
		wasPartitioned = wasPartitioned || partitioned
		select {
		case <-current.closed.Done():
			return false
		case <-changed:
		}
	}
}

func (p *Proxy) drop(current *connection) {
	p.mutex.Lock()
	delete(p.connections, current)
	p.mutex.Unlock()
	current.close()
	_ = current.client.Close()
	_ = current.server.Close()
}

// Block holds back all traffic in a direction, on existing and new connections, until Unblock has been called
// as often.
func (p *Proxy) Block(direction Direction) {
	p.addBlock(direction, 1)
}

// Unblock reverts one call of Block.
func (p *Proxy) Unblock(direction Direction) {
	p.addBlock(direction, -1)
}

func (p *Proxy) addBlock(direction Direction, change int) {
	p.mutex.Lock()
	p.blocks[direction] += change
	p.mutex.Unlock()
	p.changed.Notify()
}

// AddDelay changes the delay of traffic by the given amount, which may be negative.
func (p *Proxy) AddDelay(delay time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.delay += delay
}

// Silence drops all further traffic in a direction on existing connections; new connections work.
func (p *Proxy) Silence(direction Direction) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for existing := range p.connections {
		existing.silent[direction] = true
	}
}

// Partition cuts a client host off from the server until Heal is called.
func (p *Proxy) Partition(host string, kind PartitionKind) {
	p.mutex.Lock()
	p.partitions[host] = kind
	p.mutex.Unlock()
	if kind == PartitionResets {
		p.resetWhere(func(existing *connection) bool { return existing.host == host })
	}
}

// Heal ends the partition of a host.
func (p *Proxy) Heal(host string) {
	p.mutex.Lock()
	delete(p.partitions, host)
	p.mutex.Unlock()
	p.changed.Notify()
}

func (p *Proxy) partitionOf(host string) (kind PartitionKind, partitioned bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kind, partitioned = p.partitions[host]
	return kind, partitioned
}

// hold keeps a connection open without carrying anything until the host's partition ends, and resets it then.
func (p *Proxy) hold(client net.Conn, host string) {
	for {
		changed := p.changed.Wait()
		if _, partitioned := p.partitionOf(host); !partitioned {
			reset(client)
			return
		}
		<-changed
	}
}

// Reset resets all existing connections; new connections work.
func (p *Proxy) Reset() {
	p.resetWhere(func(*connection) bool { return true })
}

func (p *Proxy) resetWhere(matches func(existing *connection) bool) {
	p.mutex.Lock()
	existing := make([]*connection, 0, len(p.connections))
	for each := range p.connections {
		if matches(each) {
			existing = append(existing, each)
		}
	}
	p.mutex.Unlock()
	for _, each := range existing {
		reset(each.client)
		reset(each.server)
		each.close()
	}
}

// reset closes a connection with a TCP reset, so that the peer reads an error.
func reset(connection net.Conn) {
	if tcp, isTCP := connection.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0) // Close sends RST instead of FIN.
	}
	_ = connection.Close()
}
