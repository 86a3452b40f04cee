package feed

import (
	"context"
	"testing"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/wire"
)

// TestConnectSkipsUnresponsiveServers guards against waiting for a server that does not respond while
// another one would accept the connection.
func TestConnectSkipsUnresponsiveServers(t *testing.T) {
	expected := &wire.Conn{}
	dial := func(ctx context.Context, address string) (*wire.Conn, error) {
		switch address {
		case "works":
			return expected, nil
		case "refuses":
			return nil, fault.Unavailable.New("refused")
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	tests := []struct {
		servers  []string
		connects bool
	}{
		{servers: []string{"works"}, connects: true},
		{servers: []string{"silent", "works"}, connects: true},
		{servers: []string{"silent", "refuses", "silent", "works"}, connects: true},
		{servers: []string{"refuses", "refuses"}},
		{},
	}
	for _, test := range tests {
		connected, err := connectAny(t.Context(), UpstreamsFromAddresses(test.servers), dial)
		if connects := err == nil; connects != test.connects {
			t.Errorf("%v: connected %t", test.servers, connects)
		}
		if test.connects && (connected.conn != expected || connected.address != "works") {
			t.Errorf("%v: connected to %s", test.servers, connected.address)
		}
	}
}

func TestConnectStopsOnContextCancel(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	dial := func(ctx context.Context, _ string) (*wire.Conn, error) {
		cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if _, err := connectAny(ctx, UpstreamsFromAddresses([]string{"silent", "silent too"}), dial); err == nil {
		t.Error("connected to an unresponsive server")
	}
}
