package upstreamtest

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// InvalidResponse is a response whose head is invalid. It has a place for further fields and for its body.
type InvalidResponse struct {
	Name string
	head string
}

const (
	fieldsPlace = "{fields}"
	lengthPlace = "{length}"
)

// Text returns the response with some fields, each of which ends with a line break, and with a body.
func (r InvalidResponse) Text(fields, body string) string {
	return strings.NewReplacer(fieldsPlace, fields, lengthPlace, strconv.Itoa(len(body))).Replace(r.head) + "\r\n" + body
}

// InvalidResponses returns responses whose heads are invalid.
func InvalidResponses() []InvalidResponse {
	var invalid []InvalidResponse
	// No request asks to switch protocols, so that 101 answers none.
	for _, status := range []string{"000", "001", "099", "+20", "-20", "101", "600", "999", "20", "2000", "2xx"} {
		invalid = append(invalid, InvalidResponse{Name: "status " + status, head: "HTTP/1.1 " + status + " Trouble\r\n" + fieldsPlace + "Content-Length: " + lengthPlace + "\r\n"})
	}
	for name, line := range map[string]string{"length": "Content-Length: " + lengthPlace, "chunks": "Transfer-Encoding: chunked"} {
		invalid = append(invalid, InvalidResponse{Name: "interim response with " + name, head: "HTTP/1.1 103 Early Hints\r\n" + fieldsPlace + line + "\r\n"})
	}
	invalid = append(invalid, InvalidResponse{
		Name: "interim response with a blank in a name",
		head: "HTTP/1.1 103 Early Hints\r\nField : value\r\n\r\nHTTP/1.1 200 OK\r\n" + fieldsPlace + "Content-Length: " + lengthPlace + "\r\n",
	})
	framing := "Content-Length: " + lengthPlace + "\r\n"
	for name, lines := range map[string]string{
		"blank in a name":              "Field Name: value\r\n" + framing,
		"blank after a name":           "Field : value\r\n" + framing,
		"blank after the length":       "Content-Length : " + lengthPlace + "\r\n",
		"blank after the length, zero": "Content-Length : 0\r\n" + framing,
		"blank after the encoding":     "Transfer-Encoding : chunked\r\n" + framing,
		"blank name":                   " : value\r\n" + framing,
		"blank before a name":          " Field: value\r\n" + framing,
		"blank before the length":      " Content-Length: " + lengthPlace + "\r\n",
		"tab before the encoding":      "\tTransfer-Encoding: chunked\r\n" + framing,
		"no name":                      ": value\r\n" + framing,
		"no colon":                     "Field\r\n" + framing,
		"tab after a name":             "Field\t: value\r\n" + framing,
		"NUL in a name":                "Field\x00Name: value\r\n" + framing,
		"BEL in a name":                "Field\aName: value\r\n" + framing,
		"CR in a name":                 "Field\rName: value\r\n" + framing,
		"ESC before a name":            "\x1bField: value\r\n" + framing,
		"DEL after a name":             "Field\x7f: value\r\n" + framing,
		"NUL after the length":         "Content-Length\x00: " + lengthPlace + "\r\n",
		"non-ASCII name":               "F\xe9ld: value\r\n" + framing,
		"NUL in a value":               "Field: val\x00ue\r\n" + framing,
		"CR in a value":                "Field: val\rue\r\n" + framing,
	} {
		// Fields may come before or after the others.
		invalid = append(
			invalid, InvalidResponse{Name: name, head: "HTTP/1.1 200 OK\r\n" + fieldsPlace + lines},
			InvalidResponse{Name: name + ", first", head: "HTTP/1.1 200 OK\r\n" + lines + fieldsPlace},
		)
	}
	return invalid
}

// Serve starts a server that writes a text in answer to each request, once it has read that, and closes the connection. It ends with
// the test.
func Serve(t testing.TB, respond func(request *http.Request) string) (endpoint string) {
	t.Helper()
	return "http://" + Listen(t, func(connection *net.TCPConn) {
		request, err := http.ReadRequest(bufio.NewReader(connection))
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		_, _ = io.WriteString(connection, respond(request))
	})
}
