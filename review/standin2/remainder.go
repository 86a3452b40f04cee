package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	remainderHost = "ficu95.example"
	// uploads are sent at once, each of uploadRecords records, one each uploadInterval.
	uploads        = 4
	uploadRecords  = 24
	uploadInterval = 20 * time.Millisecond
	recordBytes    = 4096
	uploadDeadline = 10 * time.Second
	// callers send other requests to the same front, one each callInterval, all at once.
	callers      = 12
	callInterval = 5 * time.Second
	// callTime is more than a call takes.
	callTime = 200 * time.Millisecond
	// freezeAfter is when the front freezes, during the uploads, and freezeTime for how long.
	freezeAfter = 200 * time.Millisecond
	freezeTime  = 3500 * time.Millisecond
	// keptFor is how long a client keeps its connection for further requests.
	keptFor = 6 * time.Second
	// configTime is config_apply_ms.
	configTime = 2 * time.Second
)

// playBodyRemainder has clients upload records of earlier calls on a route that has just been removed. The front refuses the
// uploads with a 404 while they still arrive, and then freezes for some seconds. The records are bodies, and no requests.
func playBodyRemainder(ctx context.Context, stage *stage, troubled bool) (broken bool, err error) {
	workers, err := stage.startWorkers(ctx, "ledger", 4, 6, 15*time.Millisecond, nil)
	if err != nil {
		return false, err
	}
	services := []service{{Name: "ledger", HealthPath: "/health", MaxConns: 100, Protocol: "h1"}}
	hold := route{Name: "r-hold", Host: remainderHost, PathPrefix: "/lohu930/", Kind: "unsafe", TimeoutMs: 5000, TargetMs: 100, Priority: 1, Service: "ledger", MaxAttempts: 1}
	imports := hold
	imports.Name, imports.PathPrefix = "r-import", "/pufi791/"
	if err := stage.replace(ctx, newConfiguration(1, services, hold, imports)); err != nil {
		return false, err
	}
	if err := stage.awaitReady(ctx); err != nil {
		return false, err
	}
	if err := awaitServed(ctx, stage, "/lohu930/2f"); err != nil {
		return false, err
	}
	if err := stage.replace(ctx, newConfiguration(2, services, hold)); err != nil {
		return false, err
	}
	if err := pause(ctx, configTime+time.Second); err != nil {
		return false, err
	}
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	for number := range callers {
		go call(traffic, stage, number)
	}
	time.Sleep(callTime)
	var clients sync.WaitGroup
	for number := range uploads {
		clients.Go(func() { upload(stage, number) })
	}
	if troubled {
		time.Sleep(freezeAfter)
		stage.fronts[0].signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
		stage.fronts[0].signal(syscall.SIGCONT)
	}
	clients.Wait()
	if err := pause(ctx, time.Second); err != nil {
		return false, err
	}
	unasked := 0
	for _, ran := range allRuns(workers) {
		if strings.HasPrefix(ran.id, "recorded-") {
			unasked++
			stage.log.write("UNASKED: worker %s ran %s %s with id %s, which stands in a body only", ran.worker, ran.method, ran.target, ran.id)
		}
	}
	return unasked > 0, nil
}

// awaitServed waits until each front has a request of its own answered by a worker.
func awaitServed(ctx context.Context, stage *stage, target string) error {
	for number := range stage.fronts {
		for try := 0; ; try++ {
			id := fmt.Sprintf("warm-up-%d-%d", number, try)
			stage.log.write("client: %s sends POST %s", id, target)
			if got, err := ask(stage.frontAddress(number), "POST", target, remainderHost, id); err == nil && got.status == 200 {
				stage.log.write("client: %s at %s answered %d", id, stage.fronts[number].name, got.status)
				break
			}
			if err := pause(ctx, 200*time.Millisecond); err != nil {
				return fmt.Errorf("front %d serves nothing: %w", number, err)
			}
		}
	}
	return nil
}

// ask sends a request without a body on a new connection.
func ask(address, method, target, host, id string) (answer, error) {
	connected, err := dial(address)
	if err != nil {
		return answer{}, err
	}
	defer connected.close()
	if _, err := connected.connection.Write([]byte(head(method, target, host, id, 2*time.Second, 0))); err != nil {
		return answer{}, err
	}
	return connected.read(method, 3*time.Second)
}

// upload sends one upload and reads the answers that come on its connection. The client asks for one thing only.
func upload(stage *stage, number int) {
	id := fmt.Sprintf("upload-%d", number)
	connected, err := dial(stage.frontAddress(0))
	if err != nil {
		stage.log.write("client: %s not connected: %v", id, err)
		return
	}
	defer connected.close()
	stage.log.write("client: %s sends POST /pufi791/import, %d bytes of body in %d records", id, uploadRecords*recordBytes, uploadRecords)
	if _, err := connected.connection.Write([]byte(head("POST", "/pufi791/import", remainderHost, id, uploadDeadline, uploadRecords*recordBytes))); err != nil {
		stage.log.write("client: %s: %v", id, err)
		return
	}
	for position := range uploadRecords {
		time.Sleep(uploadInterval)
		if _, err := connected.connection.Write(recordedCall(number, position)); err != nil {
			stage.log.write("client: %s: record %d not sent: %v", id, position, err)
			break
		}
	}
	for count := 1; ; count++ {
		got, err := connected.read("POST", keptFor)
		if err != nil {
			stage.log.write("client: %s: no answer %d: %v", id, count, err)
			return
		}
		stage.log.write("client: %s: answer %d on its connection is %d, X-Response-Seal %q", id, count, got.status, got.header.Get("X-Response-Seal"))
	}
}

// recordedCall returns the text of an earlier call, as a log of calls holds it.
func recordedCall(number, position int) []byte {
	text := head("POST", "/lohu930/2f", remainderHost, fmt.Sprintf("recorded-%d-%d", number, position), 2*time.Second, 0)
	text = strings.TrimSuffix(text, "\r\n") + "X-Note: "
	padding := recordBytes - len(text) - len("\r\nContent-Length: 0\r\n\r\n")
	return []byte(text + strings.Repeat("n", padding) + "\r\nContent-Length: 0\r\n\r\n")
}

// call sends requests on a kept connection until ctx ends.
func call(ctx context.Context, stage *stage, number int) {
	for count := 0; ; {
		connected, err := dial(stage.frontAddress(0))
		for err == nil && ctx.Err() == nil {
			count++
			id := fmt.Sprintf("call-%d-%d", number, count)
			stage.log.write("client: %s sends POST /lohu930/2f", id)
			if _, err = connected.connection.Write([]byte(head("POST", "/lohu930/2f", remainderHost, id, 2*time.Second, 0))); err != nil {
				break
			}
			got := answer{}
			got, err = connected.read("POST", 6*time.Second)
			stage.log.write("client: %s answered %d, X-Response-Seal %q, %v", id, got.status, got.header.Get("X-Response-Seal"), err)
			_ = pause(ctx, callInterval)
		}
		if connected != nil {
			connected.close()
		}
		if pause(ctx, callInterval) != nil {
			return
		}
	}
}
