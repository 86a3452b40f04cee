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

// ProtocolVersion is the version of the internal protocol. Processes of different versions
// reject each other.
const ProtocolVersion = 1

const (
	// connectTimeout is below the one second after which TCP retransmits a lost SYN, because a new
	// attempt is faster.
	connectTimeout   = 300 * time.Millisecond
	handshakeTimeout = time.Second
	writeTimeout     = 5 * time.Second
	sendQueueLength  = 1024
	bufferBytes      = 32 << 10
)

// Conn is a framed connection after its handshake. Send never blocks on the network: a peer that
// does not drain its queue is disconnected, so that it can't stall the sender.
type Conn struct {
	network        net.Conn
	meteredNetwork *meteredConn
	reader         *bufio.Reader
	sendQueue      chan *wirepb.Envelope
	done           chan struct{}
	closeOnce      sync.Once
	counters       *Counters
	traffic        *peerCounters
	// deflateOut and deflateIn tell whether the outgoing and the incoming stream are compressed.
	deflateOut, deflateIn bool
	// Peer is the identity that the other side sent in the handshake.
	Peer *wirepb.Hello
	// Followers and UnchangedInstances are those of the server's HelloReply; they are not set on
	// connections that were accepted.
	Followers          uint32
	UnchangedInstances bool
}

// Config holds what a process uses for all of its connections.
type Config struct {
	Hello *wirepb.Hello
	// Keys enables mutual TLS; nil leaves connections in plain text.
	Keys     *keys.Store
	Counters *Counters
	// Refuse returns the reason why a server rejects a client, or "" to accept it. A nil Refuse
	// accepts all.
	Refuse func(hello *wirepb.Hello) string
	// Followers returns the number of nodes that follow a server; it may be nil.
	Followers func() uint32
}

// Dial connects to a server, performs the client's side of the handshake and starts the writer.
func Dial(ctx context.Context, address string, config Config) (*Conn, error) {
	dialer := tcpopt.Dialer()
	dialer.Timeout = connectTimeout
	network, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Unavailable.Wrap(err, "connecting to %s", address)
	}
	if config.Keys != nil {
		network = tls.Client(network, config.Keys.PeerClient())
	}
	conn := newConn(network, config.Counters)
	stop := context.AfterFunc(ctx, func() { _ = network.Close() })
	err = conn.handshakeAsClient(config.Hello)
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

// Accept performs the server's side of the handshake on a new connection and starts the writer.
func Accept(network net.Conn, config Config) (*Conn, error) {
	tcpopt.Apply(network)
	if config.Keys != nil {
		network = tls.Server(network, config.Keys.PeerServer())
	}
	conn := newConn(network, config.Counters)
	if err := conn.handshakeAsServer(config); err != nil {
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
		network:        network,
		meteredNetwork: metered,
		reader:         bufio.NewReaderSize(metered, bufferBytes),
		sendQueue:      make(chan *wirepb.Envelope, sendQueueLength),
		done:           make(chan struct{}),
		counters:       counters,
	}
}

// start sets up the streams after the handshake and starts the writer.
func (c *Conn) start() {
	c.traffic = c.counters.forZone(c.Peer.GetZone())
	c.meteredNetwork.traffic = c.traffic
	if c.deflateIn {
		c.reader = newInflateReader(c.reader)
	}
	go c.writeLoop()
}

func (c *Conn) handshakeAsClient(own *wirepb.Hello) error {
	hello := proto.CloneOf(own)
	hello.Deflate = true
	_ = c.network.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := c.writeAndFlush(&wirepb.Envelope{Body: &wirepb.Envelope_Hello{Hello: hello}}); err != nil {
		return err
	}
	envelope, _, err := ReadFrame(c.reader)
	if err != nil {
		return err
	}
	reply := envelope.GetHelloReply()
	if reply == nil {
		return fault.Protocol.New("the first frame of the server is not a HelloReply")
	}
	if reply.GetRefusal() != "" {
		return fault.Protocol.New("rejected by %s: %s", reply.GetNode(), reply.GetRefusal())
	}
	c.Peer = &wirepb.Hello{
		Node: reply.GetNode(), ProtocolVersion: reply.GetProtocolVersion(), ControlId: reply.GetControlId(), Zone: reply.GetZone(),
		Level: reply.GetLevel(),
	}
	c.Followers, c.UnchangedInstances = reply.GetFollowers(), reply.GetUnchangedInstances()
	c.deflateIn = reply.GetDeflate()
	c.deflateOut = reply.GetDeflate() && dialerCompresses(hello, reply) && c.counters.reserveCompressor(math.MaxInt64)
	if err := c.verifyPeerName(); err != nil {
		return err
	}
	return c.network.SetDeadline(time.Time{})
}

func (c *Conn) handshakeAsServer(config Config) error {
	_ = c.network.SetDeadline(time.Now().Add(handshakeTimeout))
	envelope, _, err := ReadFrame(c.reader)
	if err != nil {
		return err
	}
	hello := envelope.GetHello()
	refusal := helloRefusal(hello, config.Hello)
	if refusal == "" && config.Refuse != nil {
		refusal = config.Refuse(hello)
	}
	c.Peer = hello
	if err := c.verifyPeerName(); refusal == "" && err != nil {
		refusal = fault.Message(err)
	}
	reply := &wirepb.HelloReply{
		ProtocolVersion: ProtocolVersion, Node: config.Hello.GetNode(), Refusal: refusal, ControlId: config.Hello.GetControlId(),
		Zone: config.Hello.GetZone(), UnchangedInstances: true, Level: config.Hello.GetLevel(),
	}
	c.deflateOut = refusal == "" && hello.GetDeflate() && c.counters.reserveCompressor(compressorLimit(hello))
	reply.Deflate = c.deflateOut
	c.deflateIn = c.deflateOut && dialerCompresses(hello, reply)
	if config.Followers != nil {
		reply.Followers = config.Followers()
	}
	if err := c.writeAndFlush(&wirepb.Envelope{Body: &wirepb.Envelope_HelloReply{HelloReply: reply}}); err != nil {
		return err
	}
	if refusal != "" {
		return fault.Protocol.New("rejected a connection: %s", refusal)
	}
	return c.network.SetDeadline(time.Time{})
}

// verifyPeerName checks that a peer's certificate is issued for the name in its handshake.
func (c *Conn) verifyPeerName() error {
	secured, isSecured := c.network.(*tls.Conn)
	if !isSecured {
		return nil
	}
	return keys.CheckName(secured.ConnectionState(), c.Peer.GetNode())
}

func helloRefusal(hello, own *wirepb.Hello) string {
	switch {
	case hello == nil:
		return "the first frame is not a hello"
	case hello.GetProtocolVersion() != ProtocolVersion:
		return "protocol version differs"
	case hello.GetCluster() != own.GetCluster():
		return "cluster name differs"
	}
	return ""
}

func (c *Conn) writeAndFlush(envelope *wirepb.Envelope) error {
	writer := bufio.NewWriter(c.network)
	if _, err := WriteFrame(writer, envelope); err != nil {
		return err
	}
	if err := writer.Flush(); err != nil {
		return fault.Unavailable.Wrap(err, "flushing a frame")
	}
	return nil
}

// Send queues an envelope. If the queue is full, it closes the connection and returns an error.
func (c *Conn) Send(envelope *wirepb.Envelope) error {
	select {
	case <-c.done:
		return fault.Stopped.New("connection is closed")
	default:
	}
	select {
	case c.sendQueue <- envelope:
		return nil
	default:
		c.Close()
		return fault.Unavailable.New("send queue of %d messages is full", sendQueueLength)
	}
}

// Receive reads the next envelope. It closes the connection on error.
func (c *Conn) Receive() (*wirepb.Envelope, error) {
	envelope, size, err := ReadFrame(c.reader)
	if err != nil {
		c.Close()
		return nil, err
	}
	c.traffic.countReceived(envelope, size)
	return envelope, nil
}

// Close closes the connection and discards queued envelopes. It may be called more than once.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.network.Close()
	})
}

// RemoteAddress returns the network address of the peer; for TCP, an IP address and a port.
func (c *Conn) RemoteAddress() string {
	return c.network.RemoteAddr().String()
}

// Done returns a channel that is closed when the connection is closed.
func (c *Conn) Done() <-chan struct{} {
	return c.done
}

func (c *Conn) writeLoop() {
	defer c.Close()
	defer c.releaseCompressor()
	out := newOutStream(c.meteredNetwork, c.deflateOut)
	for {
		select {
		case <-c.done:
			return
		case envelope := <-c.sendQueue:
			if !c.writeBurst(out, envelope) {
				return
			}
		}
	}
}

// writeBurst writes an envelope and all that are queued after it, then flushes.
func (c *Conn) writeBurst(out *outStream, envelope *wirepb.Envelope) bool {
	for {
		// The deadline is per frame: a long queue on a slow link must not exceed it.
		_ = c.network.SetWriteDeadline(time.Now().Add(writeTimeout))
		size, err := WriteFrame(out.frames, envelope)
		if err != nil {
			return false
		}
		c.traffic.countSent(envelope, size)
		select {
		case envelope = <-c.sendQueue:
			continue
		default:
		}
		return out.flush() == nil
	}
}
