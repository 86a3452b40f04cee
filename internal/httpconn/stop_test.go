package httpconn

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// startTLS starts a server whose tracker is above TLS, and returns its address and a function that stops it.
func startTLS(t *testing.T, certificates []tls.Certificate, handler http.Handler) (address string, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tracker := &Tracker{}
	server := &http.Server{Handler: handler}
	tracker.Attach(server)
	secured := tls.NewListener(listener, &tls.Config{Certificates: certificates})
	go func() { _ = server.Serve(Listener{Listener: secured, Tracker: tracker}) }()
	return listener.Addr().String(), func() {
		_ = listener.Close()
		tracker.CloseIdle()
		for tracker.Busy() > 0 {
			time.Sleep(time.Millisecond)
		}
		_ = server.Close()
	}
}

// sendOverTLS sends requests, some at once, until the connection ends. It calls answered for each complete response.
func sendOverTLS(ctx context.Context, address, client string, atOnce int, answered func(id string)) {
	dialer := &tls.Dialer{Config: &tls.Config{InsecureSkipVerify: true}}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for number := 0; ; number++ {
		text, ids := "", []string{}
		for position := range atOnce {
			ids = append(ids, fmt.Sprintf("%s-%d-%d", client, number, position))
			text += "GET /" + ids[position] + " HTTP/1.1\r\nHost: a\r\n\r\n"
		}
		if _, err := io.WriteString(connection, text); err != nil {
			return
		}
		for _, id := range ids {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			if body, err := io.ReadAll(response.Body); err != nil || string(body) != "answer" {
				return
			}
			answered(id)
		}
	}
}

// Guards against requests over TLS that are handled and lose their response around a stop, since a read of them and its record were two
// steps.
func TestStoppingTLSServerAnswersWhatItHasRead(t *testing.T) {
	source := httptest.NewTLSServer(nil)
	certificates := source.TLS.Certificates
	source.Close()
	lost, total := 0, 0
	for round := range 60 {
		var mutex sync.Mutex
		handled, answered := map[string]bool{}, map[string]bool{}
		enough := make(chan struct{})
		address, stop := startTLS(t, certificates, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			mutex.Lock()
			handled[strings.TrimPrefix(request.URL.Path, "/")] = true
			if len(handled) == 100 {
				close(enough)
			}
			mutex.Unlock()
			_, _ = io.WriteString(writer, "answer")
			_ = http.NewResponseController(writer).Flush()
		}))
		var running sync.WaitGroup
		for client := range 8 {
			running.Go(func() {
				sendOverTLS(t.Context(), address, fmt.Sprintf("%d-%d", round, client), 1+client%2*2, func(id string) {
					mutex.Lock()
					defer mutex.Unlock()
					answered[id] = true
				})
			})
		}
		<-enough
		stop()
		running.Wait()
		for id := range handled {
			if total++; !answered[id] {
				lost++
			}
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d requests that were handled lost their response", lost, total)
	}
}
