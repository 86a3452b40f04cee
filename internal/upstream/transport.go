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
		return newMachineConn(opened), nil
	}
	return &Transport{&http.Transport{DialContext: dialChecked, DisableCompression: true, MaxResponseHeaderBytes: MaxUnrelayedBytes}}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	traced := httptrace.WithClientTrace(request.Context(), traceExchange())
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

// traceExchange returns hooks that report the progress of a request to its connection, after a retry to the new one.
func traceExchange() *httptrace.ClientTrace {
	var endRequest func(err error)
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if checked, isMachine := info.Conn.(*machineConn); isMachine {
				_ = checked.expectHead(nil) // No byte of the head can have been read.
				endRequest = checked.beginRequest()
			}
		},
		// net/http waits for the end of the writing before it retries a request.
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if endRequest != nil {
				endRequest(info.Err)
			}
		},
		Got1xxResponse: checkTracedInterim,
	}
}

// checkTracedInterim checks the header of an interim response; net/http does not expose whether it states an encoding.
func checkTracedInterim(_ int, header textproto.MIMEHeader) error {
	return checkInterim(http.Header(header), false)
}
