package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
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
	dialChecked := func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &machineConn{Conn: opened}, nil
	}
	return &Transport{&http.Transport{DialContext: dialChecked, DisableCompression: true, MaxResponseHeaderBytes: MaxUnrelayedBytes}}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	traced := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: expectHead, Got1xxResponse: checkTracedInterim})
	response, err := t.Transport.RoundTrip(request.WithContext(traced))
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		_ = response.Body.Close() // Nothing of the body is used.
		return nil, err
	}
	return response, nil
}

// expectHead has a connection check the head of its next response. No byte of it can have been read.
func expectHead(info httptrace.GotConnInfo) {
	if checked, isMachine := info.Conn.(*machineConn); isMachine {
		_ = checked.expectHead(nil)
	}
}

// checkTracedInterim checks the header of an interim response; net/http does not tell whether that states an encoding.
func checkTracedInterim(_ int, header textproto.MIMEHeader) error {
	return checkInterim(http.Header(header), false)
}
