package wire_test

import (
	"fmt"
	"net"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// digestEnvelope is soft state as it is several times a second: little differs from the one
// before.
func digestEnvelope(sequence uint64) *wirepb.Envelope {
	digest := &wirepb.ClusterDigest{Term: 3, Sequence: sequence, Leader: "control-1", MachineLoads: make([]byte, 140)}
	for number := range 400 {
		digest.Estimates = append(digest.Estimates, &wirepb.ReplicaEstimate{
			Version: fmt.Sprintf("model-%06d", number*7919), ReadyInMs: 6000 + uint32(sequence), EarliestInMs: 6000,
		})
	}
	digest.MachineLoads[sequence%140] = byte(sequence)
	return &wirepb.Envelope{Body: &wirepb.Envelope_ClusterDigest{ClusterDigest: digest}}
}

// oldServer is a process that knows nothing of compressed streams. It returns what it receives
// after the handshake.
func oldServer(t *testing.T, listener net.Listener, received chan<- *wirepb.Envelope) {
	t.Helper()
	network, err := listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = network.Close() }()
	if _, _, err := wire.ReadFrame(network); err != nil {
		t.Error(err)
		return
	}
	reply := &wirepb.HelloReply{ProtocolVersion: wire.ProtocolVersion, Node: "server"}
	if _, err := network.Write(frame(t, &wirepb.Envelope{Body: &wirepb.Envelope_HelloReply{HelloReply: reply}})); err != nil {
		t.Error(err)
		return
	}
	for {
		envelope, _, err := wire.ReadFrame(network)
		if err != nil {
			return
		}
		received <- envelope
	}
}

// passOn takes a connection and passes on what it receives.
func passOn(t *testing.T, listener net.Listener, server wire.Config, received chan<- *wirepb.Envelope) {
	t.Helper()
	network, err := listener.Accept()
	if err != nil {
		return
	}
	conn, err := wire.Accept(network, server)
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	for {
		envelope, err := conn.Receive()
		if err != nil {
			return
		}
		received <- envelope
	}
}

// exchange sends digests over a new connection to a listener whose server passes on what comes,
// and checks that all of them arrive whole.
func exchange(t *testing.T, address string, client wire.Config, received <-chan *wirepb.Envelope) {
	t.Helper()
	conn, err := wire.Dial(t.Context(), address, client)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for sequence := range uint64(digestsSent) {
		if err := conn.Send(digestEnvelope(sequence)); err != nil {
			t.Fatal(err)
		}
		if got := <-received; !proto.Equal(got, digestEnvelope(sequence)) {
			t.Fatalf("digest %d arrived as %v", sequence, got)
		}
	}
}

const digestsSent = 20

// TestRepeatedTextIsSentOnce: digests of some kilobytes go to every node twice a second, and differ
// from those before by a few bytes; as they are, they would be most of what deployments over several
// zones pay for.
func TestRepeatedTextIsSentOnce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	server, client := identity(t, "server", nil), identity(t, "client", nil)
	client.Hello.ControlId = 7
	received := make(chan *wirepb.Envelope)
	go passOn(t, listener, server, received)
	exchange(t, listener.Addr().String(), client, received)
	for side, counters := range map[string]*wire.Counters{"server": server.Counters, "client": client.Counters} {
		messages := counters.Traffic()[0]
		network := counters.Network()[0]
		before, after := messages.BytesSent+messages.BytesReceived, network.Sent+network.Received
		if after == 0 || before < 6*after {
			t.Errorf("%s: %d bytes of messages took %d on the network", side, before, after)
		}
	}
}

// TestWhoCompresses lists the streams of the dialling side, which both sides must see alike.
func TestWhoCompresses(t *testing.T) {
	for _, test := range []struct {
		name       string
		controlID  uint64
		zone       string
		compressed bool
	}{
		{name: "a router of the zone", zone: "east"},
		{name: "a router of another zone", zone: "west", compressed: true},
		{name: "a control node of the zone", controlID: 7, zone: "east", compressed: true},
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server, client := identity(t, "server", nil), identity(t, "client", nil)
		server.Hello.Zone, client.Hello.Zone, client.Hello.ControlId = "east", test.zone, test.controlID
		received := make(chan *wirepb.Envelope)
		go passOn(t, listener, server, received)
		exchange(t, listener.Addr().String(), client, received)
		_ = listener.Close()
		sent := uint64(0)
		for _, network := range client.Counters.Network() {
			sent += network.Sent
		}
		if messages := client.Counters.Traffic()[0]; test.compressed != (sent < messages.BytesSent) {
			t.Errorf("%s: %d bytes of messages took %d", test.name, messages.BytesSent, sent)
		}
	}
}

// TestCompressorsAreBounded: a server on a small machine has a thousand followers.
func TestCompressorsAreBounded(t *testing.T) {
	server := identity(t, "server", nil)
	for number := range 100 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		accepted := make(chan *wire.Conn, 1)
		go func() {
			network, err := listener.Accept()
			if err != nil {
				return
			}
			conn, err := wire.Accept(network, server)
			if err != nil {
				t.Error(err)
			}
			accepted <- conn
		}()
		client := identity(t, "client", nil)
		conn, err := wire.Dial(t.Context(), listener.Addr().String(), client)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		served := <-accepted
		defer served.Close()
		for sequence := range uint64(2) {
			if err := served.Send(digestEnvelope(sequence)); err != nil {
				t.Fatal(err)
			}
			if got, err := conn.Receive(); err != nil || !proto.Equal(got, digestEnvelope(sequence)) {
				t.Fatalf("follower %d: digest %d came as %v, %v", number, sequence, got, err)
			}
		}
		compressed := client.Counters.Network()[0].Received < client.Counters.Traffic()[0].BytesReceived
		if compressed != (number < compressors) {
			t.Errorf("follower %d: compressed %t", number, compressed)
		}
		_ = listener.Close()
	}
}

// compressors is how many followers a server compresses for.
const compressors = 64

// TestStreamsToOldProcessesAreNotCompressed: processes are replaced one after the other.
func TestStreamsToOldProcessesAreNotCompressed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	received := make(chan *wirepb.Envelope)
	go oldServer(t, listener, received)
	exchange(t, listener.Addr().String(), identity(t, "client", nil), received)
}
