package ingress

import (
	"net/http"
	"strconv"

	"github.com/weldline/weldline/internal/eventstream"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/httpconn"
	"github.com/weldline/weldline/internal/upstream"
)

// bodyFraming is how the body of a response to a client is framed. A router marks the end of a body only if
// it knows that the body is complete.
type bodyFraming struct {
	kind upstream.Framing
	// length is the length stated to the client, -1 for none. Only a body of kind FramingLength has one.
	length int64
}

// unmarkedEnd is the framing of a body that ends with its connection.
var unmarkedEnd = bodyFraming{kind: upstream.FramingClose, length: -1}

var errInsideEvent = fault.Protocol.New("the stream ended within an event")

// framingOf returns the framing to relay a response with.
func framingOf(response *upstream.Response) bodyFraming {
	switch {
	case response.Framing == upstream.FramingClose:
		return unmarkedEnd
	case response.Framing == upstream.FramingLength && response.Body != http.NoBody && eventstream.IsEventStream(response.Header):
		// With a length, a stream that ends within an event would look complete.
		return bodyFraming{kind: upstream.FramingChunked, length: -1}
	case response.Header.Get("Content-Length") == "":
		return bodyFraming{kind: response.Framing, length: -1}
	}
	return bodyFraming{kind: response.Framing, length: response.ContentLength}
}

// beginBody sets the headers that frame the body of the response to the client. If the response will end
// with the client's connection, a close of the connection before endBody resets it, whatever closes it.
func (j *job) beginBody(framing bodyFraming) {
	if framing.length >= 0 {
		j.writer.Header().Set("Content-Length", strconv.FormatInt(framing.length, 10))
		return
	}
	if j.forwarded != nil {
		return // The router that forwarded the request frames the response to the client.
	}
	if framing.kind == upstream.FramingClose {
		// Has net/http add neither chunks nor a length.
		j.writer.Header().Set("Transfer-Encoding", "identity")
	}
	if framing.kind == upstream.FramingClose || !j.request.ProtoAtLeast(1, 1) {
		j.resetsOnClose = true
		j.setResetOnClose(true)
	}
}

// endBody ends a body that was not cut off, as far as this router knows.
func (j *job) endBody() {
	if j.resetsOnClose {
		j.resetsOnClose = false
		j.setResetOnClose(false)
	}
}

func (j *job) setResetOnClose(resets bool) {
	if err := httpconn.SetResetOnClose(httpconn.FromContext(j.request.Context()), resets); err != nil {
		j.log("reset_unavailable", "error", fault.Message(err))
	}
}
