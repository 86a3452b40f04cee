package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryHost = "ficu95.example"
	// memoryLimit is memory_mb of a front, memoryInterval how often the platform looks.
	memoryLimit    = 284 << 20
	memoryInterval = 20 * time.Millisecond
	// usualUploads are in progress all the time, burstUploads during the burst: x is 2.5.
	usualUploads = 20
	burstUploads = 50
	burstTime    = 5 * time.Second
	// Each upload has as many bytes as max_body_bytes allows, at about 10 Mbit/s.
	sentBytes    = 4 << 20
	sentParts    = 64
	sentInterval = 50 * time.Millisecond
	// keptCallers send calls without a body on kept connections.
	keptCallers = 12
	calmTime    = 8 * time.Second
	memoryWork  = 300 * time.Millisecond
	// tolerated is how many requests the rule lets a machine lose.
	tolerated = 3
)

// uploadPart is a part of an upload.
var uploadPart = []byte(strings.Repeat("u", sentBytes/sentParts))

// playMemory has clients upload bodies of the allowed size, 2.5 times as many during a burst. The platform kills a process over its
// memory limit, and starts it again.
func playMemory(ctx context.Context, stage *stage, troubled bool) (broken bool, err error) {
	workers, err := stage.startWorkers(ctx, "ledger", 4, 16, memoryWork, nil)
	if err != nil {
		return false, err
	}
	services := []service{{Name: "ledger", HealthPath: "/health", MaxConns: 100, Protocol: "h1"}}
	card := route{Name: "r-card", Host: memoryHost, PathPrefix: "/lohu930/", Kind: "unsafe", TimeoutMs: 15000, TargetMs: 500, Priority: 1, Service: "ledger", MaxAttempts: 1}
	if err := stage.replace(ctx, newConfiguration(1, services, card)); err != nil {
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
	go enforceMemory(load, stage.fronts[0])
	lost := &lostCalls{sent: map[string]bool{}}
	var clients sync.WaitGroup
	for number := range keptCallers {
		clients.Go(func() { callKept(load, stage, number, lost) })
	}
	for number := range usualUploads {
		clients.Go(func() { uploadRepeatedly(load, stage, number) })
	}
	time.Sleep(calmTime)
	if troubled {
		stage.log.write("clients: the burst begins, %d uploads instead of %d", burstUploads, usualUploads)
		burst, end := context.WithTimeout(load, burstTime)
		defer end()
		for number := usualUploads; number < burstUploads; number++ {
			clients.Go(func() { uploadRepeatedly(burst, stage, number) })
		}
	}
	time.Sleep(burstTime)
	stage.log.write("clients: the burst is over")
	time.Sleep(calmTime / 2)
	stop()
	clients.Wait()
	return lost.judge(stage, workers), nil
}

// enforceMemory kills a process that takes more memory than its machine has.
func enforceMemory(ctx context.Context, watched *process) {
	peak := 0
	for ctx.Err() == nil {
		if used := watched.memory(); used > memoryLimit {
			watched.log.write("platform: %s takes %d MB, the limit is %d", watched.name, used>>20, memoryLimit>>20)
			watched.signal(syscall.SIGKILL)
			_ = pause(ctx, 2*restartDelay)
		} else if used > peak+peak/8 {
			peak = used
			watched.log.write("platform: %s takes %d MB", watched.name, used>>20)
		}
		_ = pause(ctx, memoryInterval)
	}
}

// memory returns the resident memory of the current process in bytes, 0 if it can't be told.
func (p *process) memory() int {
	p.mutex.Lock()
	id := p.command.Process.Pid
	p.mutex.Unlock()
	content, err := os.ReadFile("/proc/" + strconv.Itoa(id) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(content), "\n") {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(value, "kB")))
			return kilobytes << 10
		}
	}
	return 0
}

// uploadRepeatedly sends one upload after the other until ctx ends.
func uploadRepeatedly(ctx context.Context, stage *stage, number int) {
	for count := 0; ctx.Err() == nil; count++ {
		id := fmt.Sprintf("upload-%d-%d", number, count)
		status, err := uploadOnce(stage, id)
		stage.log.write("client: %s, %d bytes, answered %d, %v", id, sentBytes, status, err)
		_ = pause(ctx, sentInterval)
	}
}

func uploadOnce(stage *stage, id string) (status int, err error) {
	connected, err := dial(stage.frontAddress(0))
	if err != nil {
		return 0, err
	}
	defer connected.close()
	if _, err := connected.connection.Write([]byte(head("POST", "/lohu930/2f", memoryHost, id, 15*time.Second, sentBytes))); err != nil {
		return 0, err
	}
	for range sentParts {
		if _, err := connected.connection.Write(uploadPart); err != nil {
			return 0, err
		}
		time.Sleep(sentInterval)
	}
	got, err := connected.read("POST", 15*time.Second)
	return got.status, err
}

// lostCalls are the requests on kept connections that ended without an answer.
type lostCalls struct {
	mutex sync.Mutex
	sent  map[string]bool
}

// callKept sends calls on a kept connection, and notes those but the first of a connection that get no answer.
func callKept(ctx context.Context, stage *stage, number int, lost *lostCalls) {
	for count := 0; ctx.Err() == nil; {
		connected, err := dial(stage.frontAddress(0))
		for onConnection := 0; err == nil && ctx.Err() == nil; onConnection++ {
			count++
			id := fmt.Sprintf("call-%d-%d", number, count)
			_, err = connected.connection.Write([]byte(head("POST", "/lohu930/2f", memoryHost, id, 5*time.Second, 0)))
			if err == nil {
				_, err = connected.read("POST", 6*time.Second)
			}
			if err != nil && onConnection > 0 {
				stage.log.write("client: %s on a kept connection: %v", id, err)
				lost.add(id)
			}
			_ = pause(ctx, sentInterval)
		}
		if connected != nil {
			connected.close()
		}
		_ = pause(ctx, restartDelay)
	}
}

func (l *lostCalls) add(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sent[id] = true
}

// judge counts the lost calls that a worker has run.
func (l *lostCalls) judge(stage *stage, workers []*worker) bool {
	count := 0
	for _, ran := range allRuns(workers) {
		if l.sent[ran.id] {
			count++
			stage.log.write("LOST: %s was passed on to worker %s, and its connection ended without an answer", ran.id, ran.worker)
		}
	}
	stage.log.write("%d calls of kept connections were passed on and lost", count)
	return count > tolerated
}
