package wire

import (
	"net"
	"testing"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// shake makes a server's connection up to the end of the handshake.
func shake(t *testing.T, server Config, controlID uint64) *Conn {
	t.Helper()
	dialled, accepted := net.Pipe()
	client, conn := newConn(dialled, nil), newConn(accepted, server.Counters)
	ended := make(chan error, 1)
	go func() {
		ended <- client.greet(&wirepb.Hello{ProtocolVersion: ProtocolVersion, Node: "client", Zone: "z", ControlId: controlID})
	}()
	if err := conn.welcome(server); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestCompressorsAreBoundedAtOnce: after a server's start all nodes connect in the same moment,
// before any of their streams has begun; each compressor is memory of a small machine.
func TestCompressorsAreBoundedAtOnce(t *testing.T) {
	server := Config{Hello: &wirepb.Hello{ProtocolVersion: ProtocolVersion, Node: "server", Zone: "z"}, Counters: &Counters{}}
	var conns []*Conn
	compressed := 0
	for range 2 * maxCompressors {
		conn := shake(t, server, 0)
		conns = append(conns, conn)
		if conn.deflateOut {
			compressed++
		}
	}
	if compressed != maxCompressors {
		t.Errorf("%d streams are compressed, not %d", compressed, maxCompressors)
	}
	if conn := shake(t, server, 7); !conn.deflateOut {
		t.Error("a control node got no compressor")
	} else {
		conn.releaseCompressor()
	}
	for _, conn := range conns {
		conn.releaseCompressor()
	}
	if left := server.Counters.compressors.Load(); left != 0 {
		t.Errorf("%d compressors are counted when none is left", left)
	}
}
