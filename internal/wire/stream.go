package wire

import (
	"bufio"
	"compress/flate"
	"io"
	"math"
	"net"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// deflateLevel is the lowest level that matches text beyond the previous message; messages of
// several kinds alternate, each similar to the previous one of its kind.
const deflateLevel = 2

// maxCompressors bounds the memory for compressors, about 0.8 MB each. Further clients other than
// control nodes get an uncompressed stream.
const maxCompressors = 64

// compressorLimit returns the number of compressors up to which a client gets one. Control nodes
// always get one, as there are few of them.
func compressorLimit(hello *wirepb.Hello) int64 {
	if hello.GetControlId() != 0 {
		return math.MaxInt64
	}
	return maxCompressors
}

// reserveCompressor reserves a compressor, or returns false if limit compressors are in use. A
// server reserves one before it replies to a Hello, so that concurrent handshakes can't exceed the
// limit.
func (c *Counters) reserveCompressor(limit int64) bool {
	if c.compressors.Add(1) <= limit {
		return true
	}
	c.compressors.Add(-1)
	return false
}

// releaseCompressor releases the connection's compressor. It must be called once, when the
// connection ends.
func (c *Conn) releaseCompressor() {
	if c.deflateOut {
		c.counters.compressors.Add(-1)
	}
}

// dialerCompresses reports whether the client's stream is compressed if the server's is. Clients in
// the server's zone other than control nodes send too little for compression to be worth the memory.
func dialerCompresses(hello *wirepb.Hello, reply *wirepb.HelloReply) bool {
	return hello.GetControlId() != 0 || hello.GetZone() != reply.GetZone()
}

// outStream is the outgoing stream of frames. All frames of a connection share one compression
// window, because most messages repeat the names of earlier ones.
type outStream struct {
	frames *bufio.Writer
	// deflate and network are nil if the stream is not compressed.
	deflate *flate.Writer
	network *bufio.Writer
}

func newOutStream(network io.Writer, compressed bool) *outStream {
	if !compressed {
		return &outStream{frames: bufio.NewWriterSize(network, bufferBytes)}
	}
	out := &outStream{network: bufio.NewWriterSize(network, bufferBytes)}
	out.deflate, _ = flate.NewWriter(out.network, deflateLevel) // Fails only for an invalid level.
	out.frames = bufio.NewWriterSize(out.deflate, bufferBytes)
	return out
}

// flush sends all buffered frames.
func (s *outStream) flush() error {
	if err := s.frames.Flush(); err != nil || s.deflate == nil {
		return err
	}
	if err := s.deflate.Flush(); err != nil {
		return err
	}
	return s.network.Flush()
}

// newInflateReader returns a reader of the frames of a compressed stream.
func newInflateReader(network *bufio.Reader) *bufio.Reader {
	return bufio.NewReaderSize(flate.NewReader(network), bufferBytes)
}

// meteredConn counts the bytes of a connection after the handshake.
type meteredConn struct {
	net.Conn
	// traffic is nil during the handshake.
	traffic *peerCounters
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
