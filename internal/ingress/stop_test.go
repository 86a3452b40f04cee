package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/weldline/weldline/internal/accept/accepttest"
	"github.com/weldline/weldline/internal/earlyresponse"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/ingress"
	"github.com/weldline/weldline/internal/link"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/problem"
)

// stoppingServer is a server whose clients keep their connections while it stops.
type stoppingServer struct {
	server  *ingress.Server
	address string
	end     context.CancelFunc

	mutex sync.Mutex
	// started has the requests that the handler got, answered those whose client read the complete response.
	started, answered map[string]bool
}

func newStoppingServer(t *testing.T) *stoppingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newStoppingServerOn(t, listener)
}

func newStoppingServerOn(t *testing.T, listener net.Listener) *stoppingServer {
	t.Helper()
	created := &stoppingServer{address: listener.Addr().String(), started: map[string]bool{}, answered: map[string]bool{}}
	meter := link.NewMeter(0)
	handler := earlyresponse.Handler{Next: created, Logger: slog.New(slog.DiscardHandler)}
	created.server = ingress.NewServer(handler, nodeview.New(), slog.New(slog.DiscardHandler), ingress.NewMetrics(prometheus.NewRegistry()), meter,
		func(context.Context) time.Duration { return 0 })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := created.server.Serve(ctx, listener); err != nil {
			t.Error(err)
		}
	}()
	created.end = func() {
		cancel()
		<-done
	}
	return created
}

func (s *stoppingServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodPost {
		problem.New(problem.TypeUnavailable, http.StatusServiceUnavailable, "refused unread").Write(writer)
		return
	}
	s.mutex.Lock()
	s.started[request.Header.Get(headerID)] = true
	s.mutex.Unlock()
	// Without a length, net/http writes the end of the body after the handler has returned.
	_, _ = io.WriteString(writer, "answer")
	_ = http.NewResponseController(writer).Flush()
}

// awaitRequests waits until the handler has got some requests.
func (s *stoppingServer) awaitRequests(count int) {
	for {
		s.mutex.Lock()
		started := len(s.started)
		s.mutex.Unlock()
		if started >= count {
			return
		}
		time.Sleep(100 * time.Microsecond)
	}
}

// exchange sends requests on a connection and reads the responses. It reports whether all of them arrived.
type exchange func(s *stoppingServer, connection net.Conn, reader *bufio.Reader, id string) bool

// sendOne sends one request.
func sendOne(s *stoppingServer, connection net.Conn, reader *bufio.Reader, id string) bool {
	return write(connection, getRequest(id)) && s.readAnswer(reader, id)
}

// sendPipelined sends several requests at once.
func sendPipelined(s *stoppingServer, connection net.Conn, reader *bufio.Reader, id string) bool {
	ids := []string{id + "-a", id + "-b", id + "-c"}
	text := ""
	for _, each := range ids {
		text += getRequest(each)
	}
	if !write(connection, text) {
		return false
	}
	for _, each := range ids {
		if !s.readAnswer(reader, each) {
			return false
		}
	}
	return true
}

// sendAfterRefusal sends most of an upload, which is refused at once, and then its rest together with a request.
func sendAfterRefusal(s *stoppingServer, connection net.Conn, reader *bufio.Reader, id string) bool {
	upload := strings.Repeat("x", 20000)
	const atOnce = 15000
	head := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: shop.example\r\nContent-Length: %d\r\n\r\n", len(upload))
	if !write(connection, head+upload[:atOnce]) {
		return false
	}
	refusal, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, refusal.Body); err != nil || refusal.Close {
		return false
	}
	return write(connection, upload[atOnce:]+getRequest(id)) && s.readAnswer(reader, id)
}

func getRequest(id string) string {
	return "GET /a HTTP/1.1\r\nHost: shop.example\r\n" + headerID + ": " + id + "\r\n\r\n"
}

func (s *stoppingServer) readAnswer(reader *bufio.Reader, id string) bool {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || string(body) != "answer" {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.answered[id] = true
	return true
}

// runClient sends requests on one connection until it ends.
func (s *stoppingServer) runClient(name string, send exchange) {
	connection, err := net.Dial("tcp", s.address)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for number := 0; send(s, connection, reader, fmt.Sprintf("%s-%d", name, number)); number++ {
	}
}

// stopUnderLoad stops servers again and again while clients send requests, and returns how many requests got a handler and
// how many of those have no complete response.
func stopUnderLoad(t *testing.T, send exchange) (handled, lost int) {
	t.Helper()
	const rounds, clients, requestsPerClient = 100, 16, 20
	for round := range rounds {
		s := newStoppingServer(t)
		var running sync.WaitGroup
		for number := range clients {
			running.Go(func() { s.runClient(fmt.Sprintf("%d-%d", round, number), send) })
		}
		s.awaitRequests(requestsPerClient * clients) // The clients are then anywhere in their requests.
		s.server.StopAccepting()
		for s.server.Busy() > 0 {
			time.Sleep(time.Millisecond)
		}
		s.end()
		running.Wait()
		for id := range s.started {
			if handled++; !s.answered[id] {
				lost++
			}
		}
	}
	return handled, lost
}

// Guards against requests that reached a machine and lost their response, as an idle connection was closed while the next
// request was being read, or as the process ended before the end of the response was written.
func TestStoppingServerAnswersWhatItHasRead(t *testing.T) {
	if handled, lost := stopUnderLoad(t, sendOne); lost > 0 {
		t.Errorf("%d of %d requests that were handled lost their response", lost, handled)
	}
}

// Guards against pipelined requests that reach a machine and lose their response, as their connection counted as idle between two
// of them.
func TestStoppingServerAnswersPipelinedRequests(t *testing.T) {
	if handled, lost := stopUnderLoad(t, sendPipelined); lost > 0 {
		t.Errorf("%d of %d requests that were handled lost their response", lost, handled)
	}
}

// Guards against requests that lose their response because they were read together with the end of a refused upload.
func TestStoppingServerAnswersAfterRefusal(t *testing.T) {
	if handled, lost := stopUnderLoad(t, sendAfterRefusal); lost > 0 {
		t.Errorf("%d of %d requests that were handled lost their response", lost, handled)
	}
}

// sendEndlessly pipelines requests without end, and returns how many complete responses arrived, whether the last one announced the
// end, and the error after it.
func sendEndlessly(address string) (answers int, announced bool, err error) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = connection.Close() }()
	go func() {
		for number := 0; write(connection, strings.Repeat(getRequest(fmt.Sprintf("endless-%d", number)), 50)); number++ {
		}
	}()
	reader := bufio.NewReader(connection)
	for {
		if _, err := reader.Peek(1); err != nil {
			return answers, announced, err
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answers, announced, fault.Protocol.Wrap(err, "reading a head")
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return answers, announced, fault.Protocol.Wrap(err, "reading answer %d", answers)
		}
		if string(body) != "answer" {
			return answers, announced, fault.Protocol.New("answer %d is %q", answers, body)
		}
		answers, announced = answers+1, response.Close
	}
}

// Guards against a client that sends without end and delays a stop, or loses responses because its connection is closed with unread
// requests on it.
func TestStoppingServerEndsEndlessClient(t *testing.T) {
	for range 20 {
		s := newStoppingServer(t)
		type result struct {
			answers   int
			announced bool
			err       error
		}
		ended := make(chan result, 4)
		for range cap(ended) {
			go func() {
				answers, announced, err := sendEndlessly(s.address)
				ended <- result{answers, announced, err}
			}()
		}
		s.awaitRequests(10)
		s.server.StopAccepting()
		for range cap(ended) {
			if got := <-ended; got.answers > 0 && (!got.announced || got.err != io.EOF) {
				t.Errorf("after %d answers, the last of which announces the end: %t, the client got %v", got.answers, got.announced, got.err)
			}
		}
		s.end()
	}
}

// Guards against a connection that is accepted just as the server stops, gets a server of its own for limits that have changed,
// and is neither closed nor waited for.
func TestStoppingServerClosesConnectionForChangedLimits(t *testing.T) {
	view := nodeview.New()
	server := ingress.NewServer(http.NotFoundHandler(), view, slog.New(slog.DiscardHandler), ingress.NewMetrics(prometheus.NewRegistry()), link.NewMeter(0), nil)
	server.StopAccepting()
	client, accepted := net.Pipe()
	defer func() { _ = client.Close() }()
	go server.Assign(accepted)
	if write(client, getRequest("late")) {
		t.Error("the request is read")
	}
	if server.Busy() != 0 {
		t.Error("the server is busy")
	}
}

// Guards against clients whose connection is reset because the server stopped before it had accepted the connection, although their
// request had arrived.
func TestStoppingServerAcceptsWhatHasArrived(t *testing.T) {
	const clients = 40
	listener := accepttest.Listen(t)
	s := newStoppingServerOn(t, listener)
	countResponses := listener.Send(t, clients, getRequest("waiting"))
	s.server.StopAccepting()
	if answered := countResponses("HTTP/1.1 200"); answered != clients {
		t.Errorf("%d of %d requests that had arrived got a response", answered, clients)
	}
	s.end()
	if connection, err := net.Dial("tcp", s.address); err == nil {
		_ = connection.Close()
		t.Error("the server still listens")
	}
}
