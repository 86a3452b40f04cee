package wire

import (
	"net"
	"testing"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// acceptHandshake performs a handshake over a pipe and returns the server's connection without
// starting its writer.
func acceptHandshake(t *testing.T, server Config, controlID uint64) *Conn {
	t.Helper()
	dialled, accepted := net.Pipe()
	client, conn := newConn(dialled, nil), newConn(accepted, server.Counters)
	ended := make(chan error, 1)
	go func() {
		ended <- client.handshakeAsClient(&wirepb.Hello{ProtocolVersion: ProtocolVersion, Node: "client", Zone: "z", ControlId: controlID})
	}()
	if err := conn.handshakeAsServer(server); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestCompressorLimitDuringHandshakes checks that the limit holds for clients that connect before
// any stream has started, as after the start of a server.
func TestCompressorLimitDuringHandshakes(t *testing.T) {
	server := Config{Hello: &wirepb.Hello{ProtocolVersion: ProtocolVersion, Node: "server", Zone: "z"}, Counters: &Counters{}}
	var conns []*Conn
	compressed := 0
	for range 2 * maxCompressors {
		conn := acceptHandshake(t, server, 0)
		conns = append(conns, conn)
		if conn.deflateOut {
			compressed++
		}
	}
	if compressed != maxCompressors {
		t.Errorf("%d streams are compressed, want %d", compressed, maxCompressors)
	}
	if conn := acceptHandshake(t, server, 7); !conn.deflateOut {
		t.Error("a control node got no compressor")
	} else {
		conn.releaseCompressor()
	}
	for _, conn := range conns {
		conn.releaseCompressor()
	}
	if left := server.Counters.compressors.Load(); left != 0 {
		t.Errorf("%d compressors in use after all were released", left)
	}
}
