package feed

import (
	"context"
	"testing"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/wire"
)

// TestSilentServersHoldNothingUp: after all machines had lost power, routers
// waited a second for the first control node that they tried, which was still
// without power, while others had been back for long.
func TestSilentServersHoldNothingUp(t *testing.T) {
	opened := &wire.Conn{}
	dial := func(ctx context.Context, address string) (*wire.Conn, error) {
		switch address {
		case "works":
			return opened, nil
		case "refuses":
			return nil, fault.Unavailable.New("refused")
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	tests := []struct {
		servers []string
		answers bool
	}{
		{servers: []string{"works"}, answers: true},
		{servers: []string{"silent", "works"}, answers: true},
		{servers: []string{"silent", "refuses", "silent", "works"}, answers: true},
		{servers: []string{"refuses", "refuses"}},
		{},
	}
	for _, test := range tests {
		connected, err := connectAny(t.Context(), UpstreamsFromAddresses(test.servers), dial)
		if answers := err == nil; answers != test.answers {
			t.Errorf("%v: answered %v", test.servers, answers)
		}
		if test.answers && (connected.conn != opened || connected.address != "works") {
			t.Errorf("%v: connected to %s", test.servers, connected.address)
		}
	}
}

// TestConnectEndsWithItsContext: a node that stops does not wait for servers.
func TestConnectEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	dial := func(ctx context.Context, _ string) (*wire.Conn, error) {
		cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if _, err := connectAny(ctx, UpstreamsFromAddresses([]string{"silent", "silent too"}), dial); err == nil {
		t.Error("connected to a silent server")
	}
}
