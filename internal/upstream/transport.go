package upstream

import (
	"context"
	"net"
	"net/http"
)

// Transport is an http.RoundTripper for machines that rejects the same responses as a Pool.
type Transport struct {
	*http.Transport
}

// NewTransport returns a transport for http.Clients of machines, whose heads are bounded like those of a Pool. dial may be
// nil for the default.
func NewTransport(dial DialFunc) *Transport {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	dialFailing := func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &failingConn{Conn: opened}, nil
	}
	return &Transport{&http.Transport{DialContext: dialFailing, DisableCompression: true, MaxResponseHeaderBytes: MaxUnrelayedBytes}}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		_ = response.Body.Close() // Nothing of the body is used.
		return nil, err
	}
	return response, nil
}
