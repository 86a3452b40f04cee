package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	beatHost = "ficu95.example"
	// The service tokens has one worker, of five in all.
	ledgerWorkers = 4
	// beatDelay is how late the heartbeat of the predecessor comes, after its successor has registered.
	beatDelay = 2 * time.Second
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
	stage.log.write("worker i-00000001 of service tokens starts at %s behind a cut, sends its first heartbeat, and crashes", successor.listener.Addr())
	stage.log.write("worker %s of service tokens starts at %s", successor.id, successor.listener.Addr())
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
		if err := sendLateHeartbeat(stage, successor.listener.Addr()); err != nil {
			return false, err
		}
	}
	if err := pause(ctx, calmAfter); err != nil {
		return false, err
	}
	return judgeRoutes(ctx, stage), nil
}

// sendLateHeartbeat delivers the heartbeat that the predecessor sent before it crashed.
func sendLateHeartbeat(stage *stage, address net.Addr) error {
	beat, err := json.Marshal(map[string]any{
		"service": "tokens", "address": address.String(), "zone": "hall-eb", "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
	})
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second}
	for number := range 2 * controlCount {
		response, err := client.Post("http://"+stage.controlAddress(number)+"/v1/Instances.Heartbeat/i-00000001", "application/json", bytes.NewReader(beat))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		stage.log.write("worker i-00000001: its heartbeat arrives late at control-%d, answered %d", number%controlCount, response.StatusCode)
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the late heartbeat reaches no node")
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
