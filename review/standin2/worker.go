package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a sound worker of a service without models. It serves one request at a time on a connection.
type worker struct {
	stage       *stage
	id, service string
	zone        string
	listener    net.Listener
	slots       int
	work        time.Duration
	// beforeAnswer, if set, returns bytes that a faulty worker sends before its answer to the request.
	beforeAnswer func(request *workerRequest) []byte

	mutex sync.Mutex
	runs  []ranRequest
	// sequence is the number of heartbeats sent.
	sequence int
}

// ranRequest is a request that a worker has begun to work on.
type ranRequest struct {
	at                               time.Time
	worker, id, method, target, body string
}

// workerRequest is a request at a worker, with its number on its connection.
type workerRequest struct {
	*http.Request
	onConnection int
	log          *recorder
}

func (s *stage) newWorker(number int, serviceName string, slots int, work time.Duration) (*worker, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(s.host(101+number), "0"))
	if err != nil {
		return nil, err
	}
	zones := []string{"hall-pl", "hall-eb", "hall-gb"}
	return &worker{
		stage: s, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+number), service: serviceName, zone: zones[number%len(zones)], listener: listener, slots: slots, work: work,
	}, nil
}

// serve accepts connections and sends heartbeats until ctx ends.
func (w *worker) serve(ctx context.Context) {
	go w.beat(ctx)
	w.accept(ctx)
}

// accept serves requests until ctx ends, and then closes all connections.
func (w *worker) accept(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = w.listener.Close() })
	for {
		connection, err := w.listener.Accept()
		if err != nil {
			return
		}
		context.AfterFunc(ctx, func() { _ = connection.Close() })
		go w.serveConnection(connection)
	}
}

func (w *worker) serveConnection(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if _, err := connection.Write(w.answer(connection, &workerRequest{Request: request, onConnection: number, log: w.stage.log}, body)); err != nil {
			return
		}
	}
}

// answer runs a request, unless it is not for this worker, and returns the answer.
func (w *worker) answer(connection net.Conn, request *workerRequest, body []byte) []byte {
	id := request.Header.Get("X-Attempt-Id")
	if request.URL.Path == "/health" {
		return response(http.StatusOK, "X-Instance-Id: "+w.id+"\r\n", "")
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		return response(http.StatusMisdirectedRequest, "X-Attempt-Id: "+id+"\r\nX-Not-Executed: 1\r\n", "")
	}
	if id == "" {
		return response(http.StatusBadRequest, "X-Not-Executed: 1\r\n", "")
	}
	w.mutex.Lock()
	w.runs = append(w.runs, ranRequest{at: time.Now(), worker: w.id, id: id, method: request.Method, target: request.RequestURI, body: string(body)})
	w.mutex.Unlock()
	w.stage.log.write("worker %s: runs %s %s, id %s, %d bytes of body", w.id, request.Method, request.RequestURI, id, len(body))
	if w.beforeAnswer != nil {
		if extra := w.beforeAnswer(request); extra != nil {
			_, _ = connection.Write(extra)
		}
	}
	time.Sleep(w.work)
	text := "answer to " + id
	return response(http.StatusOK, "X-Attempt-Id: "+id+"\r\nX-Response-Seal: seal."+id+"\r\n", text)
}

// response returns an answer with a length.
func response(status int, header, body string) []byte {
	return []byte(fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body))
}

// nextHeartbeat returns the content of the next heartbeat.
func (w *worker) nextHeartbeat() map[string]any {
	w.sequence++
	return map[string]any{
		"service": w.service, "address": w.listener.Addr().String(), "zone": w.zone, "version": "v1", "slots": w.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": w.sequence,
	}
}

// beat sends heartbeats to one control node after the other.
func (w *worker) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for number := 0; ; {
		beat, err := json.Marshal(w.nextHeartbeat())
		if err != nil {
			panic(err) // The fields are plain values.
		}
		response, err := client.Post("http://"+w.stage.controlAddress(number)+"/v1/Instances.Heartbeat/"+w.id, "application/json", bytes.NewReader(beat))
		interval := time.Duration(heartbeatMs) * time.Millisecond
		if err == nil {
			_ = response.Body.Close()
		}
		if err != nil || response.StatusCode >= http.StatusMultipleChoices {
			number++
			interval = 100 * time.Millisecond
		}
		if pause(ctx, interval) != nil {
			return
		}
	}
}

// allRuns returns what the workers have run.
func allRuns(workers []*worker) []ranRequest {
	var runs []ranRequest
	for _, each := range workers {
		each.mutex.Lock()
		runs = append(runs, each.runs...)
		each.mutex.Unlock()
	}
	return runs
}

// startWorkers starts workers of a service. configure is called with each of them first.
func (s *stage) startWorkers(ctx context.Context, serviceName string, count, slots int, work time.Duration, configure func(number int, added *worker)) ([]*worker, error) {
	workers := make([]*worker, 0, count)
	for number := range count {
		started, err := s.newWorker(number, serviceName, slots, work)
		if err != nil {
			return nil, err
		}
		if configure != nil {
			configure(number, started)
		}
		workers = append(workers, started)
		go started.serve(ctx)
	}
	s.log.write("workers: %s of service %s", strconv.Itoa(count), serviceName)
	return workers, nil
}
