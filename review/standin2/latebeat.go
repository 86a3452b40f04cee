package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	beatHost = "ficu95.example"
	// The service tokens has one worker, of five in all.
	ledgerWorkers = 4
	// predecessor is the id of the worker that crashes.
	predecessor = "i-00000001"
	// cutTime is how long the cut lasts. TCP sends what it held up again at growing intervals (0.2 s, doubled each time), so that
	// it arrives later than a new connection: beatDelay after the successor is served.
	cutTime   = 4500 * time.Millisecond
	beatDelay = 1700 * time.Millisecond
	// calmAfter is contact_ms and more; after it requests count, for judgedTime.
	calmAfter     = 4 * time.Second
	judgedTime    = 30 * time.Second
	judgedPause   = 100 * time.Millisecond
	judgedCallers = 2
)

// playLateHeartbeat has the first heartbeat of a worker that has crashed arrive after its successor has registered at the same
// address. Both are workers of a service with one worker, whose route was added later than that of the other service.
func playLateHeartbeat(ctx context.Context, stage *stage, troubled bool) (broken bool, err error) {
	if _, err := stage.startWorkers(ctx, "ledger", ledgerWorkers, 6, 15*time.Millisecond, nil); err != nil {
		return false, err
	}
	successor, err := stage.newWorker(ledgerWorkers, "tokens", 6, 15*time.Millisecond)
	if err != nil {
		return false, err
	}
	services := []service{
		{Name: "ledger", HealthPath: "/health", MaxConns: 100, Protocol: "h1"}, {Name: "tokens", HealthPath: "/health", MaxConns: 100, Protocol: "h1"},
	}
	first := route{Name: "r-card", Host: beatHost, PathPrefix: "/lohu930/", Kind: "safe", TimeoutMs: 1500, TargetMs: 100, Priority: 1, Service: "ledger", MaxAttempts: 2}
	later := first
	later.Name, later.PathPrefix, later.Service = "r-token", "/pufi791/", "tokens"
	if err := stage.replace(ctx, newConfiguration(1, services, first)); err != nil {
		return false, err
	}
	if err := stage.awaitReady(ctx); err != nil {
		return false, err
	}
	if err := stage.replace(ctx, newConfiguration(2, services, first, later)); err != nil {
		return false, err
	}
	held, err := stage.crashBehindCut(successor.listener.Addr())
	if err != nil {
		return false, err
	}
	stage.log.write("worker %s of service tokens starts at %s", successor.id, successor.listener.Addr())
	if err := pause(ctx, cutTime); err != nil {
		return false, err
	}
	stage.log.write("the cut heals")
	go successor.serve(ctx)
	for _, target := range []string{"/lohu930/2f", "/pufi791/2f"} {
		if err := awaitServed(ctx, stage, target); err != nil {
			return false, err
		}
	}
	if err := pause(ctx, beatDelay); err != nil {
		return false, err
	}
	if troubled {
		if err := stage.deliver(held); err != nil {
			return false, err
		}
	}
	if err := pause(ctx, calmAfter); err != nil {
		return false, err
	}
	return judgeRoutes(ctx, stage), nil
}

// heldHeartbeat is what a cut holds up of a connection to a control node.
type heldHeartbeat struct {
	sent []byte
}

// crashBehindCut has a worker start, send its first heartbeat into a cut, and crash. The cut holds the bytes up.
func (s *stage) crashBehindCut(address net.Addr) (*heldHeartbeat, error) {
	beat, err := json.Marshal(map[string]any{
		"service": "tokens", "address": address.String(), "zone": "hall-eb", "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
	})
	if err != nil {
		return nil, err
	}
	proxy, err := net.Listen("tcp", net.JoinHostPort(s.host(201), "0"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = proxy.Close() }()
	s.log.write("worker %s of service tokens starts at %s, sends its first heartbeat into a cut, and crashes", predecessor, address)
	worker, err := net.Dial("tcp", proxy.Addr().String())
	if err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintf(worker, "POST /v1/Instances.Heartbeat/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		predecessor, s.controlAddress(0), len(beat), beat); err != nil {
		return nil, err
	}
	_ = worker.Close()
	connection, err := proxy.Accept()
	if err != nil {
		return nil, err
	}
	defer func() { _ = connection.Close() }()
	sent, err := io.ReadAll(connection)
	return &heldHeartbeat{sent: sent}, err
}

// deliver passes on what the cut has held up: the bytes, and the end of the connection.
func (s *stage) deliver(held *heldHeartbeat) error {
	connection, err := net.Dial("tcp", s.controlAddress(0))
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	if _, err := connection.Write(held.sent); err != nil {
		return err
	}
	if closer, isTCP := connection.(*net.TCPConn); isTCP {
		_ = closer.CloseWrite()
	}
	_ = connection.SetReadDeadline(time.Now().Add(time.Second))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		s.log.write("worker %s: its heartbeat arrives at control-0; no answer: %v", predecessor, err)
		return nil
	}
	_ = response.Body.Close()
	s.log.write("worker %s: its heartbeat arrives at control-0, answered %d", predecessor, response.StatusCode)
	return nil
}

// shares counts what was asked and served on a route.
type shares struct{ asked, served int }

// judgeRoutes compares how often the later and the first route are served.
func judgeRoutes(ctx context.Context, stage *stage) bool {
	judged, stop := context.WithTimeout(ctx, judgedTime)
	defer stop()
	var mutex sync.Mutex
	counts := map[string]*shares{"/lohu930/2f": {}, "/pufi791/2f": {}}
	var callers sync.WaitGroup
	for target, count := range counts {
		for caller := range judgedCallers {
			callers.Go(func() {
				for number := 0; judged.Err() == nil; number++ {
					id := fmt.Sprintf("judged%s-%d-%d", target[1:5], caller, number)
					got, err := ask(stage.frontAddress(caller%frontCount), "GET", target, beatHost, id)
					stage.log.write("client: %s GET %s answered %d, %v", id, target, got.status, err)
					mutex.Lock()
					count.asked++
					if err == nil && got.status == http.StatusOK {
						count.served++
					}
					mutex.Unlock()
					_ = pause(judged, judgedPause)
				}
			})
		}
	}
	callers.Wait()
	first, later := counts["/lohu930/2f"], counts["/pufi791/2f"]
	stage.log.write("first route: %d of %d served; route added later: %d of %d served", first.served, first.asked, later.served, later.asked)
	return later.asked >= 20 && 4*later.served*first.asked < first.served*later.asked
}
