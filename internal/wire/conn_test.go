package wire_test

import (
	"context"
	"net"
	"testing"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/keys"
	"github.com/weldline/weldline/internal/keys/keystest"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

func identity(t *testing.T, node string, files *keys.Files) wire.Config {
	t.Helper()
	self := wire.Config{
		Hello:    &wirepb.Hello{ProtocolVersion: wire.ProtocolVersion, Cluster: "test", Node: node},
		Counters: &wire.Counters{},
	}
	if files == nil {
		return self
	}
	store, err := keys.Load(*files)
	if err != nil {
		t.Fatal(err)
	}
	self.Keys = store
	return self
}

// connect lets a client meet a server and returns both sides' errors. Where
// both agree, a message goes through.
func connect(t *testing.T, server, client wire.Config) (serverErr, clientErr error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	received := make(chan error, 1)
	go func() {
		network, err := listener.Accept()
		if err != nil {
			received <- err
			return
		}
		conn, err := wire.Accept(network, server)
		if err != nil {
			received <- err
			return
		}
		defer conn.Close()
		envelope, err := conn.Receive()
		if err == nil && envelope.GetWatchRequest().GetAfterRevision() != 7 {
			err = fault.Protocol.New("another message came")
		}
		received <- err
	}()
	conn, clientErr := wire.Dial(context.Background(), listener.Addr().String(), client)
	if clientErr == nil {
		request := &wirepb.WatchRequest{AfterRevision: 7}
		clientErr = conn.Send(&wirepb.Envelope{Body: &wirepb.Envelope_WatchRequest{WatchRequest: request}})
	}
	serverErr = <-received
	if conn != nil {
		conn.Close()
	}
	return serverErr, clientErr
}

// TestHandshake lists who may talk to whom.
func TestHandshake(t *testing.T) {
	ours, theirs := keystest.NewAuthority(t), keystest.NewAuthority(t)
	server, client, stranger := ours.Issue("server"), ours.Issue("client"), theirs.Issue("client")
	otherCluster := identity(t, "client", nil)
	otherCluster.Hello.Cluster = "other"
	otherVersion := identity(t, "client", nil)
	otherVersion.Hello.ProtocolVersion = wire.ProtocolVersion + 1
	refusing := identity(t, "server", nil)
	refusing.Refuse = func(hello *wirepb.Hello) string {
		if hello.GetControlId() == 0 {
			return "no state yet"
		}
		return ""
	}
	peer := identity(t, "peer", nil)
	peer.Hello.ControlId = 7
	cases := []struct {
		name           string
		server, client wire.Config
		accepted       bool
	}{
		{"plain text", identity(t, "server", nil), identity(t, "client", nil), true},
		{"another cluster", identity(t, "server", nil), otherCluster, false},
		{"another protocol version", identity(t, "server", nil), otherVersion, false},
		{"a server without state", refusing, identity(t, "client", nil), false},
		{"its peer", refusing, peer, true},
		{"mutual TLS", identity(t, "server", &server), identity(t, "client", &client), true},
		{"certificate of another authority", identity(t, "server", &server), identity(t, "client", &stranger), false},
		{"certificate of another name", identity(t, "server", &server), identity(t, "somebody", &client), false},
		{"server of another name", identity(t, "somebody", &server), identity(t, "client", &client), false},
		{"plain text to TLS", identity(t, "server", &server), identity(t, "client", nil), false},
		{"TLS to plain text", identity(t, "server", nil), identity(t, "client", &client), false},
	}
	for _, entry := range cases {
		t.Run(entry.name, func(t *testing.T) {
			serverErr, clientErr := connect(t, entry.server, entry.client)
			if accepted := serverErr == nil && clientErr == nil; accepted != entry.accepted {
				t.Errorf("server: %v, client: %v", serverErr, clientErr)
			}
		})
	}
}

// TestTrafficIsCountedByKind checks the counters on both sides.
func TestTrafficIsCountedByKind(t *testing.T) {
	server, client := identity(t, "server", nil), identity(t, "client", nil)
	if serverErr, clientErr := connect(t, server, client); serverErr != nil || clientErr != nil {
		t.Fatal(serverErr, clientErr)
	}
	listed := server.Counters.Traffic()
	if len(listed) != 1 || listed[0].Kind != "watch_request" || listed[0].MessagesReceived != 1 || listed[0].BytesReceived == 0 {
		t.Errorf("%+v", listed)
	}
}

// TestTrafficIsCountedByNearness: bytes between zones and regions are paid for, so both sides
// count where they go.
func TestTrafficIsCountedByNearness(t *testing.T) {
	regions := places.NewZoneMap(map[string]string{"a1": "a", "a2": "a", "b1": "b"})
	for zone, wanted := range map[string]places.Proximity{
		"a1": places.SameZone, "a2": places.SameRegion, "b1": places.OtherRegion, "unknown": places.OtherRegion,
	} {
		server, client := identity(t, "server", nil), identity(t, "client", nil)
		server.Hello.Zone, client.Hello.Zone = "a1", zone
		server.Counters = wire.NewCounters(places.Location{Zone: "a1", Zones: regions})
		client.Counters = wire.NewCounters(places.Location{Zone: zone, Zones: regions})
		if serverErr, clientErr := connect(t, server, client); serverErr != nil || clientErr != nil {
			t.Fatal(serverErr, clientErr)
		}
		for side, counters := range map[string]*wire.Counters{"server": server.Counters, "client": client.Counters} {
			if listed := counters.Traffic(); len(listed) != 1 || listed[0].Proximity != wanted {
				t.Errorf("%s, client in %s: %+v", side, zone, listed)
			}
		}
	}
}

// TestDialerLearnsTheIdentity: whoever dials is told which control node answers,
// which may be another one than was there before.
func TestDialerLearnsTheIdentity(t *testing.T) {
	server := identity(t, "server", nil)
	server.Hello.ControlId = 11
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		if network, err := listener.Accept(); err == nil {
			if conn, err := wire.Accept(network, server); err == nil {
				<-conn.Done()
			}
		}
	}()
	conn, err := wire.Dial(t.Context(), listener.Addr().String(), identity(t, "client", nil))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if conn.Peer.GetControlId() != 11 || conn.Peer.GetNode() != "server" {
		t.Errorf("the peer is %v", conn.Peer)
	}
}
