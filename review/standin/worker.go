package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker serves the plain service. It keeps to the users' pages.
type worker struct {
	bench   *bench
	id      string
	service string
	zone    string
	address string
	server  *http.Server
	stop    context.CancelFunc

	mutex sync.Mutex
	// events and pause describe the streams, work is the time that a plain request takes.
	events   int
	pause    time.Duration
	work     time.Duration
	begun    map[string]int
	finished map[string]bool
}

// eventText is the text of an event of a stream.
var eventText = strings.Repeat("token ", 46)

func workerIP(number int) string { return fmt.Sprintf("127.83.3.%d", number) }

func (b *bench) startWorker(number int, control []*node) *worker {
	return b.startWorkerAt(fmt.Sprintf("i-%08x", number), serviceName, zones[0], net.JoinHostPort(workerIP(number), "0"), control)
}

func (b *bench) startWorkerAt(id, service, zone, address string, control []*node) *worker {
	listener, err := net.Listen("tcp", address)
	need(err == nil, "no worker: %v", err)
	ctx, cancel := context.WithCancel(context.Background())
	created := &worker{
		bench: b, id: id, service: service, zone: zone, address: listener.Addr().String(), stop: cancel,
		begun: map[string]int{}, finished: map[string]bool{},
	}
	created.server = &http.Server{Handler: created, ReadHeaderTimeout: time.Minute, ConnState: resetOnClose}
	go func() { _ = created.server.Serve(listener) }()
	go created.sendHeartbeats(ctx, control)
	return created
}

// resetOnClose has the end of a worker reset its connections, as that of a process with unread data does.
func resetOnClose(connection net.Conn, state http.ConnState) {
	if accepted, isTCP := connection.(*net.TCPConn); isTCP && state == http.StateNew {
		_ = accepted.SetLinger(0)
	}
}

func (w *worker) close() {
	w.stop()
	_ = w.server.Close()
}

func (w *worker) sendHeartbeats(ctx context.Context, control []*node) {
	for sequence := 1; ctx.Err() == nil; sequence++ {
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,"sequence":%d}`,
			w.service, w.address, w.zone, sequence)
		for attempt := range control {
			target := control[(sequence+attempt)%len(control)]
			if status, _ := call(http.MethodPost, target.controlAddress(), "/v1/Instances.Heartbeat/"+w.id, body); status == http.StatusOK {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Attempt-Id")
	if request.URL.Path == "/health" {
		writer.Header().Set("X-Instance-Id", w.id)
		return
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		writer.Header().Set("X-Attempt-Id", id)
		writer.Header().Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	drain(request.Body)
	w.mutex.Lock()
	w.begun[id]++
	events, pause, work := w.events, w.pause, w.work
	w.mutex.Unlock()
	writer.Header().Set("X-Attempt-Id", id)
	writer.Header().Set("X-Response-Seal", "seal."+id)
	complete := false
	if strings.HasPrefix(request.URL.Path, streamPath) {
		complete = serveStream(writer, request, events, pause)
	} else {
		time.Sleep(work)
		_, err := fmt.Fprint(writer, strings.Repeat("card ", 160))
		complete = err == nil
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.finished[id] = complete && request.Context().Err() == nil
}

func serveStream(writer http.ResponseWriter, request *http.Request, events int, pause time.Duration) (complete bool) {
	writer.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(writer)
	for number := 1; number <= events; number++ {
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, eventText); err != nil || controller.Flush() != nil {
			return false
		}
		select {
		case <-request.Context().Done():
			return false
		case <-time.After(pause):
		}
	}
	return true
}

// counts returns the requests that began, began more than once, and were finished.
func (w *worker) counts() (begun, repeated, finished int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, times := range w.begun {
		begun++
		if times > 1 {
			repeated++
		}
	}
	for _, complete := range w.finished {
		if complete {
			finished++
		}
	}
	return begun, repeated, finished
}
