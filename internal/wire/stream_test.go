package wire_test

import (
	"fmt"
	"net"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// digestEnvelope returns a digest that differs little from the previous one of its sequence.
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

// legacyServer accepts a connection as a release without compression does, and forwards the
// envelopes after the handshake.
func legacyServer(t *testing.T, listener net.Listener, received chan<- *wirepb.Envelope) {
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

// forwardReceived accepts a connection and forwards the envelopes that it receives.
func forwardReceived(t *testing.T, listener net.Listener, server wire.Config, received chan<- *wirepb.Envelope) {
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

// sendDigests sends digests over a new connection to a server that forwards what it receives, and
// checks that they arrive unchanged.
func sendDigests(t *testing.T, address string, client wire.Config, received <-chan *wirepb.Envelope) {
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

// TestSimilarMessagesCompress checks the compression across messages: without it, periodic digests
// dominate the traffic between zones.
func TestSimilarMessagesCompress(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	server, client := configFor(t, "server", nil), configFor(t, "client", nil)
	client.Hello.ControlId = 7
	received := make(chan *wirepb.Envelope)
	go forwardReceived(t, listener, server, received)
	sendDigests(t, listener.Addr().String(), client, received)
	for side, counters := range map[string]*wire.Counters{"server": server.Counters, "client": client.Counters} {
		messages := counters.Traffic()[0]
		network := counters.Network()[0]
		before, after := messages.BytesSent+messages.BytesReceived, network.Sent+network.Received
		if after == 0 || before < 6*after {
			t.Errorf("%s: %d bytes of messages took %d on the network", side, before, after)
		}
	}
}

// TestClientStreamCompression lists the clients whose stream is compressed. Both sides have to come
// to the same decision.
func TestClientStreamCompression(t *testing.T) {
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
		server, client := configFor(t, "server", nil), configFor(t, "client", nil)
		server.Hello.Zone, client.Hello.Zone, client.Hello.ControlId = "east", test.zone, test.controlID
		received := make(chan *wirepb.Envelope)
		go forwardReceived(t, listener, server, received)
		sendDigests(t, listener.Addr().String(), client, received)
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

// TestCompressorLimit checks that clients beyond the limit get an uncompressed stream.
func TestCompressorLimit(t *testing.T) {
	server := configFor(t, "server", nil)
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
		client := configFor(t, "client", nil)
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
				t.Fatalf("follower %d: digest %d arrived as %v, %v", number, sequence, got, err)
			}
		}
		compressed := client.Counters.Network()[0].Received < client.Counters.Traffic()[0].BytesReceived
		if compressed != (number < compressors) {
			t.Errorf("follower %d: compressed %t", number, compressed)
		}
		_ = listener.Close()
	}
}

// compressors is the limit on compressed streams of a server.
const compressors = 64

// TestNoCompressionForLegacyServers covers rolling upgrades.
func TestNoCompressionForLegacyServers(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	received := make(chan *wirepb.Envelope)
	go legacyServer(t, listener, received)
	sendDigests(t, listener.Addr().String(), configFor(t, "client", nil), received)
}
