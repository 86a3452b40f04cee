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
	for _, status := range []string{"000", "001", "099", "+20", "-20", "101", "20", "2000", "2xx"} {
		invalid = append(invalid, InvalidResponse{Name: "status " + status, head: "HTTP/1.1 " + status + " Trouble\r\n" + fieldsPlace + "Content-Length: " + lengthPlace + "\r\n"})
	}
	return invalid
}

// Serve starts a server that writes a text in answer to each request, once it has read that, and closes the connection. It ends with
// the test.
func Serve(t testing.TB, respond func(request *http.Request) string) (endpoint string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go answer(connection, respond)
		}
	}()
	return "http://" + listener.Addr().String()
}

func answer(connection net.Conn, respond func(request *http.Request) string) {
	defer func() { _ = connection.Close() }()
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
}
