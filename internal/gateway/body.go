package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/upstream"
)

// readBody reads the complete body of a response. Errors are of type fault.Engine. A body with neither a
// length nor chunks ends with its connection and may have been cut off; it is accepted only if it is a
// JSON document, which is complete if it can be parsed.
func readBody(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPlainBodyBytes+1))
	switch {
	case err != nil:
		return nil, fault.Engine.Wrap(err, "reading a response")
	case len(body) > maxPlainBodyBytes:
		return nil, fault.Engine.New("the response is longer than %d bytes", maxPlainBodyBytes)
	case upstream.FramingOf(response) == upstream.FramingClose && !isWholeDocument(body):
		return nil, fault.Engine.New("the response has neither a length nor chunks and may have been cut off")
	}
	return body, nil
}

// isWholeDocument reports whether a body is a JSON document of which no prefix is one.
func isWholeDocument(body []byte) bool {
	trimmed := bytes.TrimLeft(body, " \t\r\n")
	return len(trimmed) > 0 && bytes.IndexByte([]byte(`{["`), trimmed[0]) >= 0 && json.Valid(body)
}
