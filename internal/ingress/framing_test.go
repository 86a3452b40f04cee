package ingress_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// ending is what a client's connection says about the end of a response.
type ending string

const (
	// endProven: the whole length or the last chunk was received.
	endProven ending = "proven"
	// endUnmarked: the connection was closed without an error, and nothing else marks the end.
	endUnmarked ending = "unmarked"
	// endBroken: the connection was reset, or closed before the marked end.
	endBroken ending = "broken"
)

// sendRaw sends a request and returns what its connection says about the response.
func (d *deployment) sendRaw(protocol, id string) (status int, body string, end ending) {
	d.t.Helper()
	connection, err := net.Dial("tcp", d.server.Listener.Addr().String())
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(long))
	write(connection, "POST /a/b "+protocol+"\r\nHost: shop.example\r\n"+headerID+": "+id+"\r\nContent-Length: 4\r\n\r\nbody")
	return readRaw(connection)
}

func readRaw(connection net.Conn) (status int, body string, end ending) {
	return readRawFrom(bufio.NewReader(connection))
}

func readRawFrom(reader *bufio.Reader) (status int, body string, end ending) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, "", endBroken
	}
	content, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		end = endBroken
	case response.ContentLength < 0 && len(response.TransferEncoding) == 0:
		end = endUnmarked
	default:
		end = endProven
	}
	return response.StatusCode, string(content), end
}

const (
	framedByLength = "length"
	framedByChunks = "chunks"
	framedByClose  = "close"
)

// framedResponse returns a complete response to a request. One that is framed by close ends with its connection.
func framedResponse(request receivedRequest, status, framing, contentType, body string) string {
	head := "HTTP/1.1 " + status + "\r\n" + headerID + ": " + request.header.Get(headerID) + "\r\n" + headerSeal + ": s\r\n"
	if contentType != "" {
		head += "Content-Type: " + contentType + "\r\n"
	}
	switch framing {
	case framedByLength:
		return head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	case framedByChunks:
		if body != "" {
			body = strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n"
		}
		return head + "Transfer-Encoding: chunked\r\n\r\n" + body + "0\r\n\r\n"
	}
	return head + "\r\n" + body
}

// respondFramed responds to each request with the same body and closes the connection.
func respondFramed(status, framing, contentType, body string) responseScript {
	return func(request receivedRequest, _ int, connection net.Conn) bool {
		write(connection, framedResponse(request, status, framing, contentType, body))
		return false
	}
}

const eventStream = "text/event-stream"

// streamPrefixes returns every prefix of a stream, and whether it ends within an event.
func streamPrefixes(lineEnd string) (prefixes []string, inside []bool) {
	events := []string{"id: 1|data: one||", ":c||", "id: 2|data: two||"}
	stream, complete := "", map[string]bool{"": true}
	for _, event := range events {
		for _, line := range strings.SplitAfter(event, "|") {
			stream += strings.ReplaceAll(line, "|", lineEnd)
			// Comments are no part of an event.
			if line == "|" || strings.HasPrefix(line, ":") {
				complete[stream] = true
				if lineEnd == "\r\n" && line != "" {
					complete[strings.TrimSuffix(stream, "\n")] = true
				}
			}
		}
	}
	for end := range len(stream) + 1 {
		prefixes = append(prefixes, stream[:end])
		inside = append(inside, !complete[stream[:end]])
	}
	return prefixes, inside
}

// TestStreamThatEndsInsideEventIsBroken guards against relaying a stream that its machine cut off as if it were complete.
func TestStreamThatEndsInsideEventIsBroken(t *testing.T) {
	for _, test := range []struct {
		name, framing, lineEnd, protocol string
		// complete is the end that the client must see if the stream ends between events.
		complete ending
	}{
		{"close, LF", framedByClose, "\n", "HTTP/1.1", endUnmarked},
		{"close, CRLF", framedByClose, "\r\n", "HTTP/1.1", endUnmarked},
		{"close, CR", framedByClose, "\r", "HTTP/1.1", endUnmarked},
		{"chunks, LF", framedByChunks, "\n", "HTTP/1.1", endProven},
		{"length, CRLF", framedByLength, "\r\n", "HTTP/1.1", endProven},
		{"close, HTTP/1.0 client", framedByClose, "\n", "HTTP/1.0", endUnmarked},
		{"chunks, HTTP/1.0 client", framedByChunks, "\r\n", "HTTP/1.0", endUnmarked},
		{"length, HTTP/1.0 client", framedByLength, "\n", "HTTP/1.0", endUnmarked},
	} {
		t.Run(test.name, func(t *testing.T) {
			prefixes, inside := streamPrefixes(test.lineEnd)
			for position, prefix := range prefixes {
				d := newDeployment(t)
				machine := newRawMachine(t, respondFramed("200 OK", test.framing, eventStream, prefix))
				d.serve(v1.RouteStream, 1, long, machine.address)
				status, body, end := d.sendRaw(test.protocol, "id-"+strconv.Itoa(position))
				want := test.complete
				if inside[position] {
					want = endBroken
				}
				if prefix == "" && end == endProven && test.framing != framedByClose {
					continue // An empty body has a length even if it was not stated.
				}
				if end != want {
					t.Errorf("a stream that ends after %q looks %s, not %s", prefix, end, want)
				}
				if end != endBroken && (status != http.StatusOK || body != prefix) {
					t.Errorf("got %d %q, not %q", status, body, prefix)
				}
			}
		})
	}
}

// TestUnframedResponseStaysUnframed guards against vouching for a response whose end its machine did not mark.
func TestUnframedResponseStaysUnframed(t *testing.T) {
	for _, test := range []struct {
		name, status, body string
		code               int
	}{
		{"success", "200 OK", "whatever was received", http.StatusOK},
		{"empty", "200 OK", "", http.StatusOK},
		{"long", "200 OK", strings.Repeat("0123456789", 20_000), http.StatusOK},
		{"error", "500 Oops", "oops", http.StatusInternalServerError},
	} {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(test.name+" "+protocol, func(t *testing.T) {
				machine := newRawMachine(t, respondFramed(test.status, framedByClose, "text/plain", test.body))
				d := newDeployment(t)
				d.serve(v1.RouteUnrepeatable, 1, long, machine.address)
				status, body, end := d.sendRaw(protocol, "id-1")
				if status != test.code || body != test.body || end != endUnmarked {
					t.Errorf("got %d, %d bytes, end %s", status, len(body), end)
				}
			})
		}
	}
}

// TestUnframedErrorGetsNoLength guards against stating the length of an error response that may have been cut off.
func TestUnframedErrorGetsNoLength(t *testing.T) {
	first := newRawMachine(t, respondFramed("500 Oops", framedByClose, "text/plain", "oops"))
	second := newRawMachine(t, func(_ receivedRequest, _ int, connection net.Conn) bool { return reset(connection) })
	d := newDeployment(t)
	d.serve(v1.RouteRepeatable, 2, long, first.address, second.address)
	for number := 0; len(first.requests()) == 0 || len(second.requests()) == 0; number++ {
		status, body, end := d.sendRaw("HTTP/1.1", "id-"+strconv.Itoa(number))
		if status == http.StatusInternalServerError && (body != "oops" || end != endUnmarked) {
			t.Errorf("got %q, end %s", body, end)
		}
	}
}

// TestAbortedUnframedResponseIsBroken guards against a router that shuts down and closes its clients' connections in the
// middle of responses whose end is not marked.
func TestAbortedUnframedResponseIsBroken(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for name, end := range map[string]func(d *deployment){
			"abort":            func(d *deployment) { d.handler.Abort() },
			"close of clients": func(d *deployment) { d.server.CloseClientConnections() },
		} {
			t.Run(name+" "+protocol, func(t *testing.T) {
				ended := make(chan struct{})
				machine := newRawMachine(t, func(request receivedRequest, _ int, connection net.Conn) bool {
					write(connection, framedResponse(request, "200 OK", framedByClose, eventStream, "data: one\n\n"))
					<-ended
					return false
				})
				d := newDeployment(t)
				d.serve(v1.RouteStream, 1, long, machine.address)
				connection, err := net.Dial("tcp", d.server.Listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = connection.Close() }()
				defer close(ended)
				write(connection, "POST /a/b "+protocol+"\r\nHost: shop.example\r\n"+headerID+": x\r\nContent-Length: 4\r\n\r\nbody")
				received := make([]byte, 0, 1024)
				buffer := make([]byte, 1024)
				for !strings.Contains(string(received), "data: one\n\n") {
					count, err := connection.Read(buffer)
					if err != nil {
						t.Fatal(err)
					}
					received = append(received, buffer[:count]...)
				}
				end(d)
				if _, err := connection.Read(buffer); err == nil || errors.Is(err, io.EOF) {
					t.Errorf("the client got %v, which looks like the end of the response", err)
				}
			})
		}
	}
}

// TestHopKeepsEndOfResponse guards against a second router that vouches for a response that the first one can't vouch for.
func TestHopKeepsEndOfResponse(t *testing.T) {
	for _, test := range []struct {
		name, framing, body string
		end                 ending
	}{
		{"stream cut off", framedByClose, "data: one\n\ndata: tw", endBroken},
		{"stream cut off in chunks", framedByChunks, "data: one\n\ndata: tw", endBroken},
		{"unframed stream", framedByClose, "data: one\n\n", endUnmarked},
		{"stream in chunks", framedByChunks, "data: one\n\n", endProven},
	} {
		t.Run(test.name, func(t *testing.T) {
			machine := newRawMachine(t, respondFramed("200 OK", test.framing, eventStream, test.body))
			cut, other := newCutRouter(t, "cut"), newDeployment(t)
			cut.serve(v1.RouteStream, 1, long, machine.address)
			other.serve(v1.RouteStream, 1, long, machine.address)
			cut.knowRouters("other z " + other.acceptForwards())
			status, body, end := cut.sendRaw("HTTP/1.1", "id-1")
			if end != test.end {
				t.Errorf("the response looks %s, not %s", end, test.end)
			}
			if end != endBroken && (status != http.StatusOK || body != test.body) {
				t.Errorf("got %d %q", status, body)
			}
		})
	}
}
