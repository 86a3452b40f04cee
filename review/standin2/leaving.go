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
	leavingHost    = "ficu95.example"
	leavingWork    = 300 * time.Millisecond
	leavingCallers = 32
	// stayingWorkers serve on, beside the one that leaves.
	stayingWorkers = 6
	// cutTime is how long a new worker is cut from the core. It leaves as soon as the cut has healed. TCP sends what the cut held up
	// again at growing intervals, so that it arrives beatDelay after the deregistration.
	cutTime   = 4500 * time.Millisecond
	beatDelay = 1700 * time.Millisecond
	// drainTime is drain_ms, servesOn how long the worker serves after that.
	drainTime = 2 * time.Second
	servesOn  = 4 * time.Second
)

// playLateRegistration has a new worker leave. With the disruption a cut delays the heartbeat that it sent before, so that this
// one arrives after its deregistration was acknowledged.
func playLateRegistration(ctx context.Context, stage *stage, troubled bool) (broken bool, err error) {
	workers, err := stage.startWorkers(ctx, "ledger", stayingWorkers, 6, leavingWork, nil)
	if err != nil {
		return false, err
	}
	services := []service{{Name: "ledger", HealthPath: "/health", MaxConns: 100, Protocol: "h1"}}
	hold := route{Name: "r-hold", Host: leavingHost, PathPrefix: "/lohu930/", Kind: "unsafe", TimeoutMs: 3000, TargetMs: 500, Priority: 1, Service: "ledger", MaxAttempts: 1}
	if err := stage.replace(ctx, newConfiguration(1, services, hold)); err != nil {
		return false, err
	}
	if err := stage.awaitReady(ctx); err != nil {
		return false, err
	}
	if err := awaitServed(ctx, stage, "/lohu930/2f"); err != nil {
		return false, err
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	answers := &answerTable{statuses: map[string]int{}}
	var callers sync.WaitGroup
	for number := range leavingCallers {
		callers.Go(func() { callOften(load, stage, number, "/lohu930/2f", answers) })
	}
	leaver, err := stage.newWorker(len(workers), "ledger", 6, leavingWork)
	if err != nil {
		return false, err
	}
	acknowledged, err := stage.playLeaver(ctx, leaver, troubled)
	if err != nil {
		return false, err
	}
	stop()
	callers.Wait()
	return judgeLeaver(stage, leaver, acknowledged, answers), nil
}

// playLeaver plays the life of the worker that leaves, and returns when its leaving was acknowledged.
func (s *stage) playLeaver(ctx context.Context, leaver *worker, cut bool) (acknowledged time.Time, err error) {
	life, end := context.WithCancel(ctx)
	defer end()
	go leaver.accept(life)
	beats, stopBeats := context.WithCancel(life)
	defer stopBeats()
	var held []byte
	s.log.write("worker %s: starts at %s", leaver.id, leaver.listener.Addr())
	if cut {
		if held, err = s.sendIntoCut(leaver); err != nil {
			return acknowledged, err
		}
	} else {
		go leaver.beat(beats)
	}
	if err := pause(ctx, cutTime); err != nil {
		return acknowledged, err
	}
	stopBeats()
	s.log.write("worker %s: is to leave; any cut has healed", leaver.id)
	if acknowledged, err = s.deregister(ctx, leaver); err != nil {
		return acknowledged, err
	}
	if err := pause(ctx, beatDelay); err != nil {
		return acknowledged, err
	}
	if cut {
		if err := s.deliver(leaver, held); err != nil {
			return acknowledged, err
		}
	}
	if err := pause(ctx, drainTime+servesOn-beatDelay); err != nil {
		return acknowledged, err
	}
	s.log.write("worker %s: ends, %s after drain_ms", leaver.id, servesOn)
	end()
	return acknowledged, pause(ctx, time.Second)
}

// sendIntoCut sends the worker's first heartbeat, which a cut holds up. It returns what the cut has.
func (s *stage) sendIntoCut(sender *worker) ([]byte, error) {
	beat, err := json.Marshal(sender.nextHeartbeat())
	if err != nil {
		return nil, err
	}
	proxy, err := net.Listen("tcp", net.JoinHostPort(s.host(201), "0"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = proxy.Close() }()
	connection, err := net.Dial("tcp", proxy.Addr().String())
	if err != nil {
		return nil, err
	}
	s.log.write("worker %s: sends its first heartbeat into a cut", sender.id)
	if _, err := fmt.Fprintf(connection, "POST /v1/Instances.Heartbeat/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		sender.id, s.controlAddress(0), len(beat), beat); err != nil {
		return nil, err
	}
	_ = connection.Close()
	held, err := proxy.Accept()
	if err != nil {
		return nil, err
	}
	defer func() { _ = held.Close() }()
	return io.ReadAll(held)
}

// deliver passes on what a cut has held up: the bytes, and the end of the connection.
func (s *stage) deliver(sender *worker, held []byte) error {
	connection, err := net.Dial("tcp", s.controlAddress(0))
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	if _, err := connection.Write(held); err != nil {
		return err
	}
	if closer, isTCP := connection.(*net.TCPConn); isTCP {
		_ = closer.CloseWrite()
	}
	_ = connection.SetReadDeadline(time.Now().Add(time.Second))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		s.log.write("worker %s: its first heartbeat arrives at control-0; no answer: %v", sender.id, err)
		return nil
	}
	_ = response.Body.Close()
	s.log.write("worker %s: its first heartbeat arrives at control-0, answered %d", sender.id, response.StatusCode)
	return nil
}

// deregister sends the worker's deregistration to one control node after the other until one acknowledges it.
func (s *stage) deregister(ctx context.Context, leaver *worker) (acknowledged time.Time, err error) {
	client := &http.Client{Timeout: time.Second}
	for number := 0; ; number++ {
		response, err := client.Post("http://"+s.controlAddress(number)+"/v1/Instances.Deregister/"+leaver.id, "application/json", nil)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				s.log.write("worker %s: its deregistration is acknowledged by control-%d", leaver.id, number%controlCount)
				return time.Now(), nil
			}
		}
		if err := pause(ctx, operatorPause); err != nil {
			return time.Time{}, err
		}
	}
}

// judgeLeaver counts the requests that reached the worker later than drain_ms after the acknowledgement, and those of them that its end
// cut off.
func judgeLeaver(stage *stage, leaver *worker, acknowledged time.Time, answers *answerTable) bool {
	late, lost := 0, 0
	runs := allRuns([]*worker{leaver})
	for _, ran := range runs {
		after := ran.at.Sub(acknowledged)
		if after <= drainTime {
			continue
		}
		late++
		stage.log.write("DRAIN: %s reached worker %s %.3f s after the acknowledgement, the client got %d", ran.id, ran.worker, after.Seconds(), answers.statuses[ran.id])
		if answers.statuses[ran.id] != http.StatusOK {
			lost++
		}
	}
	stage.log.write("%d requests ran at the worker that left, %d of them reached it later than drain_ms, %d of these got no answer of it", len(runs), late, lost)
	return late > 0
}
