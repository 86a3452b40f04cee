package ingress_test

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// An upload takes uploadPieces intervals. Each piece is the text of a request.
	uploadPieces   = 24
	uploadInterval = 125 * time.Millisecond
	uploadPiece    = 4096
	// crowdBodyLimit is the limit on bodies that crowdedRouter declares.
	crowdBodyLimit = 1 << 20
)

// recordedRequest returns the text of a request that a machine would answer.
func recordedRequest(number int) string {
	head := fmt.Sprintf("POST /short/x HTTP/1.1\r\nHost: shop.example\r\n%s: recorded-%d\r\nTest-Note: ", headerID, number)
	end := "\r\nContent-Length: 0\r\n\r\n"
	return head + strings.Repeat("n", uploadPiece-len(head)-len(end)) + end
}

func inChunk(content string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(content), content) }

// uploadTest is an upload that is answered before its body has been read.
type uploadTest struct {
	name, path string
	// framing is the header that frames the body, first what is sent at once of it.
	framing, first string
	chunked        bool
	status         int
}

var uploadTests = []uploadTest{
	{name: "stated length", path: "/no-route", framing: fmt.Sprintf("Content-Length: %d", uploadPieces*uploadPiece), status: 404},
	{name: "chunks", path: "/no-route", framing: "Transfer-Encoding: chunked", chunked: true, status: 404},
	{name: "body sent without being asked for", path: "/no-route", framing: fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d", uploadPieces*uploadPiece), status: 404},
	{
		name: "stated length, too large", path: "/short/x", framing: fmt.Sprintf("Content-Length: %d", crowdBodyLimit+uploadPieces*uploadPiece),
		first: strings.Repeat("x", crowdBodyLimit), status: 413,
	},
	{
		name: "chunks, too large", path: "/short/x", framing: "Transfer-Encoding: chunked", first: inChunk(strings.Repeat("x", crowdBodyLimit)),
		chunked: true, status: 413,
	},
	{name: "invalid chunk", path: "/short/x", framing: "Transfer-Encoding: chunked", first: "no length\r\n", status: 400},
}

// upload sends an upload, and returns the responses that arrive on its connection. sent is how long the client was sending.
func upload(t *testing.T, connection net.Conn, test uploadTest, header string) (responses []*http.Response, arrived []time.Duration, sent time.Duration) {
	t.Helper()
	started := time.Now()
	received := make(chan struct{})
	go func() {
		defer close(received)
		reader := bufio.NewReader(connection)
		for {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			arrived = append(arrived, time.Since(started))
			responses = append(responses, response)
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				t.Errorf("a response was cut off: %v", err)
				return
			}
		}
	}()
	content := "POST " + test.path + " HTTP/1.1\r\nHost: shop.example\r\n" + headerID + ": id\r\n" + header + test.framing + "\r\n\r\n" + test.first
	for number := range uploadPieces {
		piece := recordedRequest(number)
		if test.chunked {
			piece = inChunk(piece)
		}
		if !write(connection, content+piece) {
			t.Errorf("the connection was closed after %s, while the client was sending", time.Since(started))
			break
		}
		time.Sleep(uploadInterval)
		content = ""
	}
	if test.chunked {
		write(connection, "0\r\n\r\n")
	}
	sent = time.Since(started)
	time.Sleep(time.Minute)
	_ = connection.Close()
	<-received
	return responses, arrived, sent
}

// check checks that an upload got one response, which did not wait for its end.
func (test uploadTest) check(t *testing.T, connection net.Conn, header string) {
	t.Helper()
	responses, arrived, sent := upload(t, connection, test, header)
	if len(responses) == 0 {
		t.Fatal("no response")
	}
	if responses[0].StatusCode != test.status || arrived[0] >= sent {
		t.Errorf("status %d after %s of %s, want %d", responses[0].StatusCode, arrived[0], sent, test.status)
	}
	for _, response := range responses[1:] {
		t.Errorf("a response to a request that was not sent: %d, %s %q", response.StatusCode, headerID, response.Header.Get(headerID))
	}
}

// TestSlowUploadIsRefusedOnce guards against taking the rest of a refused body for requests, and against a refusal that the
// client does not get while it is still sending.
func TestSlowUploadIsRefusedOnce(t *testing.T) {
	for _, test := range uploadTests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				router := newCrowdedRouter(t, 0)
				time.Sleep(time.Second)
				connection, err := router.host.dialTo(t.Context(), "", "")
				if err != nil {
					t.Fatal(err)
				}
				test.check(t, connection, "")
			})
		})
	}
}

// forwardHeader returns the header of a request that another router forwards.
func forwardHeader(t *testing.T) string {
	t.Helper()
	encoded, err := proto.Marshal(&wirepb.ForwardedRequest{Router: "other", Configuration: 1, Pool: "pool", RemainingMs: 5000})
	if err != nil {
		t.Fatal(err)
	}
	return base64.StdEncoding.EncodeToString(encoded)
}

// TestSlowForwardedUploadIsRefusedOnce is the same for the requests that routers forward to each other.
func TestSlowForwardedUploadIsRefusedOnce(t *testing.T) {
	for _, test := range uploadTests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				router := newCrowdedRouter(t, 0)
				time.Sleep(time.Second)
				listener := newMemoryListener()
				server := &http.Server{Handler: router.handler.ForwardHandler()}
				go func() { _ = server.Serve(listener) }()
				t.Cleanup(func() { _ = server.Close() })
				near, far := router.host.connect(&router.host.inbound, &router.host.outbound)
				listener.deliver(far)
				test.check(t, near, headerForward+": "+forwardHeader(t)+"\r\n")
			})
		})
	}
}
