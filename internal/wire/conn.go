package wire

import (
	"bufio"
	"context"
	"crypto/tls"
	"math"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/keys"
	"github.com/weldline/weldline/internal/tcpopt"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// ProtocolVersion is the version of the internal protocol. Processes of
// different versions refuse each other.
const ProtocolVersion = 1

const (
	// connectTimeout is how long a machine has to take a connection. It is
	// below the second after which a lost first packet is sent again: a new
	// attempt is sooner.
	connectTimeout   = 300 * time.Millisecond
	handshakeTimeout = time.Second
	writeTimeout     = 5 * time.Second
	sendQueueLength  = 1024
	bufferBytes      = 32 << 10
)

// Conn is a framed connection after its handshake. Send never blocks on the
// network: a peer that doesn't drain its queue is disconnected, because soft
// state may be lost but must not hold up the sender.
type Conn struct {
	network  net.Conn
	metered  *meteredConn
	reader   *bufio.Reader
	outbox   chan *wirepb.Envelope
	done     chan struct{}
	once     sync.Once
	counters *Counters
	// traffic counts what goes over this connection by kind.
	traffic *placeCounters
	// deflateOut and deflateIn are set where the stream of that direction is compressed.
	deflateOut, deflateIn bool
	// Peer is what the other side said of itself.
	Peer *wirepb.Hello
	// Followers is how many nodes followed the other side when it took this connection; see
	// HelloReply.
	Followers uint32
	// UnchangedInstances is whether the dialled side takes reports of machines without what it
	// has; see HelloReply.
	UnchangedInstances bool
}

// Config is what a process shows of itself on every connection.
type Config struct {
	Hello *wirepb.Hello
	// Keys secures connections; nil leaves them in plain text.
	Keys     *keys.Store
	Counters *Counters
	// Refuse returns why a server takes no connection of a peer, or an empty
	// text; nil takes all.
	Refuse func(hello *wirepb.Hello) string
	// Followers returns how many nodes follow a server; nil where none do.
	Followers func() uint32
}

// Dial connects, shakes hands and starts the writer.
func Dial(ctx context.Context, address string, self Config) (*Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout, Control: tcpopt.Control, KeepAliveConfig: tcpopt.KeepAlive}
	network, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Unavailable.Wrap(err, "connecting to %s", address)
	}
	if self.Keys != nil {
		network = tls.Client(network, self.Keys.PeerClient())
	}
	conn := newConn(network, self.Counters)
	stop := context.AfterFunc(ctx, func() { _ = network.Close() })
	err = conn.greet(self.Hello)
	if !stop() && err == nil {
		err = fault.Unavailable.Wrap(ctx.Err(), "connecting to %s", address)
	}
	if err != nil {
		conn.releaseCompressor()
		_ = network.Close()
		return nil, err
	}
	conn.start()
	return conn, nil
}

// Accept performs the server's side of the handshake on a fresh connection.
func Accept(network net.Conn, self Config) (*Conn, error) {
	tcpopt.Apply(network)
	if self.Keys != nil {
		network = tls.Server(network, self.Keys.PeerServer())
	}
	conn := newConn(network, self.Counters)
	if err := conn.welcome(self); err != nil {
		conn.releaseCompressor()
		_ = network.Close()
		return nil, err
	}
	conn.start()
	return conn, nil
}

func newConn(network net.Conn, counters *Counters) *Conn {
	if counters == nil {
		counters = &Counters{}
	}
	metered := &meteredConn{Conn: network}
	return &Conn{
		network:  network,
		metered:  metered,
		reader:   bufio.NewReaderSize(metered, bufferBytes),
		outbox:   make(chan *wirepb.Envelope, sendQueueLength),
		done:     make(chan struct{}),
		counters: counters,
	}
}

// start begins the stream of frames after the handshake.
func (c *Conn) start() {
	c.traffic = c.counters.with(c.Peer.GetZone())
	c.metered.traffic = c.traffic
	if c.deflateIn {
		c.reader = inflate(c.reader)
	}
	go c.writeLoop()
}

func (c *Conn) greet(own *wirepb.Hello) error {
	hello := proto.CloneOf(own)
	hello.Deflate = true
	_ = c.network.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := c.writeNow(&wirepb.Envelope{Body: &wirepb.Envelope_Hello{Hello: hello}}); err != nil {
		return err
	}
	envelope, _, err := ReadFrame(c.reader)
	if err != nil {
		return err
	}
	reply := envelope.GetHelloReply()
	if reply == nil {
		return fault.Protocol.New("the first frame of the server is not a hello reply")
	}
	if reply.GetRefusal() != "" {
		return fault.Protocol.New("refused by %s: %s", reply.GetNode(), reply.GetRefusal())
	}
	c.Peer = &wirepb.Hello{
		Node: reply.GetNode(), ProtocolVersion: reply.GetProtocolVersion(), ControlId: reply.GetControlId(), Zone: reply.GetZone(),
		Level: reply.GetLevel(),
	}
	c.Followers, c.UnchangedInstances = reply.GetFollowers(), reply.GetUnchangedInstances()
	c.deflateIn = reply.GetDeflate()
	c.deflateOut = reply.GetDeflate() && dialerCompresses(hello, reply) && c.counters.takeCompressor(math.MaxInt64)
	if err := c.checkName(); err != nil {
		return err
	}
	return c.network.SetDeadline(time.Time{})
}

func (c *Conn) welcome(self Config) error {
	_ = c.network.SetDeadline(time.Now().Add(handshakeTimeout))
	envelope, _, err := ReadFrame(c.reader)
	if err != nil {
		return err
	}
	hello := envelope.GetHello()
	refusal := refuseHello(hello, self.Hello)
	if refusal == "" && self.Refuse != nil {
		refusal = self.Refuse(hello)
	}
	c.Peer = hello
	if err := c.checkName(); refusal == "" && err != nil {
		refusal = fault.Message(err)
	}
	reply := &wirepb.HelloReply{
		ProtocolVersion: ProtocolVersion, Node: self.Hello.GetNode(), Refusal: refusal, ControlId: self.Hello.GetControlId(),
		Zone: self.Hello.GetZone(), UnchangedInstances: true, Level: self.Hello.GetLevel(),
	}
	c.deflateOut = refusal == "" && hello.GetDeflate() && c.counters.takeCompressor(compressorsFor(hello))
	reply.Deflate = c.deflateOut
	c.deflateIn = c.deflateOut && dialerCompresses(hello, reply)
	if self.Followers != nil {
		reply.Followers = self.Followers()
	}
	if err := c.writeNow(&wirepb.Envelope{Body: &wirepb.Envelope_HelloReply{HelloReply: reply}}); err != nil {
		return err
	}
	if refusal != "" {
		return fault.Protocol.New("refused a connection: %s", refusal)
	}
	return c.network.SetDeadline(time.Time{})
}

// checkName checks, on a secured connection, that the peer is who it says.
func (c *Conn) checkName() error {
	secured, isSecured := c.network.(*tls.Conn)
	if !isSecured {
		return nil
	}
	return keys.CheckName(secured.ConnectionState(), c.Peer.GetNode())
}

func refuseHello(hello, self *wirepb.Hello) string {
	switch {
	case hello == nil:
		return "the first frame is not a hello"
	case hello.GetProtocolVersion() != ProtocolVersion:
		return "protocol version differs"
	case hello.GetCluster() != self.GetCluster():
		return "cluster name differs"
	}
	return ""
}

func (c *Conn) writeNow(envelope *wirepb.Envelope) error {
	writer := bufio.NewWriter(c.network)
	if _, err := WriteFrame(writer, envelope); err != nil {
		return err
	}
	if err := writer.Flush(); err != nil {
		return fault.Unavailable.Wrap(err, "flushing a frame")
	}
	return nil
}

// Send queues an envelope. It fails, and closes the connection, when the
// queue is full.
func (c *Conn) Send(envelope *wirepb.Envelope) error {
	select {
	case <-c.done:
		return fault.Stopped.New("connection is closed")
	default:
	}
	select {
	case c.outbox <- envelope:
		return nil
	default:
		c.Close()
		return fault.Unavailable.New("send queue of %d messages is full", sendQueueLength)
	}
}

// Receive reads the next envelope.
func (c *Conn) Receive() (*wirepb.Envelope, error) {
	envelope, size, err := ReadFrame(c.reader)
	if err != nil {
		c.Close()
		return nil, err
	}
	c.traffic.received(envelope, size)
	return envelope, nil
}

// Close ends the connection; queued envelopes are lost.
func (c *Conn) Close() {
	c.once.Do(func() {
		close(c.done)
		_ = c.network.Close()
	})
}

// RemoteAddress is the peer's address.
func (c *Conn) RemoteAddress() string {
	return c.network.RemoteAddr().String()
}

// Done is closed when the connection is.
func (c *Conn) Done() <-chan struct{} {
	return c.done
}

func (c *Conn) writeLoop() {
	defer c.Close()
	defer c.releaseCompressor()
	out := newOutStream(c.metered, c.deflateOut)
	for {
		select {
		case <-c.done:
			return
		case envelope := <-c.outbox:
			if !c.writeBurst(out, envelope) {
				return
			}
		}
	}
}

// writeBurst writes an envelope and all queued behind it with one flush.
func (c *Conn) writeBurst(out *outStream, envelope *wirepb.Envelope) bool {
	for {
		// Each frame has its own time: a long queue on a slow link is no silence.
		_ = c.network.SetWriteDeadline(time.Now().Add(writeTimeout))
		size, err := WriteFrame(out.frames, envelope)
		if err != nil {
			return false
		}
		c.traffic.sent(envelope, size)
		select {
		case envelope = <-c.outbox:
			continue
		default:
		}
		return out.flush() == nil
	}
}
