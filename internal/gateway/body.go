package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/weldline/weldline/internal/bodymemory"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/upstream"
)

// heldBody is the complete body of a response. Its memory must be released.
type heldBody struct {
	content  []byte
	memory   *bodymemory.Budget
	reserved int64
}

func (b *heldBody) release() {
	b.memory.Release(b.reserved)
	b.content, b.reserved = nil, 0
}

// readBody reads the complete body of a response. Errors are of type fault.Engine, or bodymemory.ErrExhausted. A body with neither
// a length nor chunks ends with its connection and may have been cut off; it is accepted only if it is a JSON document, which is
// complete if it can be parsed. Memory is reserved as the body arrives: a stated length proves nothing.
func (g *Gateway) readBody(response *http.Response) (*heldBody, error) {
	body, reserved, err := g.bodies.ReadAll(response.Body, maxPlainBodyBytes)
	held := &heldBody{content: body, memory: g.bodies, reserved: reserved}
	switch {
	case err == nil && (upstream.FramingOf(response) != upstream.FramingClose || isWholeDocument(body)):
		return held, nil
	case err == nil:
		err = fault.Engine.New("the response has neither a length nor chunks and may have been cut off")
	case err != bodymemory.ErrExhausted:
		err = fault.Engine.Wrap(err, "reading a response")
	}
	held.release()
	return nil, err
}

// isWholeDocument reports whether a body is a JSON document of which no prefix is one.
func isWholeDocument(body []byte) bool {
	trimmed := bytes.TrimLeft(body, " \t\r\n")
	return len(trimmed) > 0 && bytes.IndexByte([]byte(`{["`), trimmed[0]) >= 0 && json.Valid(body)
}
