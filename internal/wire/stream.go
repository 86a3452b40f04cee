package wire

import (
	"bufio"
	"compress/flate"
	"io"
	"math"
	"net"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// deflateLevel is the lowest level that finds the same text in messages before the last one:
// digests and changes differ little from those before, and come by turns. Higher levels take
// longer and gain next to nothing.
const deflateLevel = 2

// maxCompressors bounds the memory for compressors, 0.8 MB each and as much again until it is
// collected: control nodes run on small machines. Nodes that connect beyond it get frames as they
// are.
const maxCompressors = 64

// compressorsFor is how many compressors a server may have for one of them to go to a peer. Control
// nodes are few, and always get one.
func compressorsFor(hello *wirepb.Hello) int64 {
	if hello.GetControlId() != 0 {
		return math.MaxInt64
	}
	return maxCompressors
}

// takeCompressor counts one compressor more, unless there are as many as there may be. It is
// counted before the other side is told: all nodes may connect in the same moment.
func (c *Counters) takeCompressor(most int64) bool {
	if c.compressors.Add(1) <= most {
		return true
	}
	c.compressors.Add(-1)
	return false
}

// releaseCompressor counts the connection's compressor no more; it is called once, at its end.
func (c *Conn) releaseCompressor() {
	if c.deflateOut {
		c.counters.compressors.Add(-1)
	}
}

// dialerCompresses reports whether the stream of the dialling side is compressed, where both sides
// take that; the other always is. A router sends reports of a kilobyte a second and has a small
// machine; within a zone that is not worth the compressor's memory.
func dialerCompresses(hello *wirepb.Hello, reply *wirepb.HelloReply) bool {
	return hello.GetControlId() != 0 || hello.GetZone() != reply.GetZone()
}

// outStream is the stream of frames to another process. Most of what is sent repeats what was
// sent before (names of machines and models in digests, reports and changes), so all frames of a
// connection are one compressed text, flushed with each burst.
type outStream struct {
	// frames takes frames.
	frames *bufio.Writer
	// deflate is nil where the other side takes frames as they are; network is behind it.
	deflate *flate.Writer
	network *bufio.Writer
}

func newOutStream(network io.Writer, compressed bool) *outStream {
	if !compressed {
		return &outStream{frames: bufio.NewWriterSize(network, bufferBytes)}
	}
	out := &outStream{network: bufio.NewWriterSize(network, bufferBytes)}
	out.deflate, _ = flate.NewWriter(out.network, deflateLevel) // The level is a valid one.
	out.frames = bufio.NewWriterSize(out.deflate, bufferBytes)
	return out
}

// flush sends all that was written.
func (s *outStream) flush() error {
	if err := s.frames.Flush(); err != nil || s.deflate == nil {
		return err
	}
	if err := s.deflate.Flush(); err != nil {
		return err
	}
	return s.network.Flush()
}

// inflate returns the frames of a compressed stream.
func inflate(network *bufio.Reader) *bufio.Reader {
	return bufio.NewReaderSize(flate.NewReader(network), bufferBytes)
}

// meteredConn counts the bytes of a connection, as they go over the network.
type meteredConn struct {
	net.Conn
	// traffic is nil during the handshake.
	traffic *placeCounters
}

// Read implements net.Conn.
func (c *meteredConn) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	if c.traffic != nil {
		c.traffic.networkReceived.Add(uint64(count))
	}
	return count, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(from []byte) (int, error) {
	count, err := c.Conn.Write(from)
	if c.traffic != nil {
		c.traffic.networkSent.Add(uint64(count))
	}
	return count, err
}
