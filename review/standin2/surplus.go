package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	surplusHost = "ficu95.example"
	// surplusShare is the share of its answers behind which the faulty worker sends more bytes.
	surplusShare   = 0.03
	surplusCallers = 8
	surplusPause   = 30 * time.Millisecond
	surplusTime    = 15 * time.Second
)

// surplusAnswer are bytes behind a whole answer. They belong to no request, and so carry no id.
const surplusAnswer = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// playSurplusAnswer has one of three workers send more bytes behind a part of its answers. They arrive late, when the next
// request is on its way.
func playSurplusAnswer(ctx context.Context, stage *stage, troubled bool) (broken bool, err error) {
	workers, err := stage.startWorkers(ctx, "ledger", 3, 6, 15*time.Millisecond, func(number int, added *worker) {
		if troubled && number == 0 {
			added.beforeAnswer = lateSurplus
		}
	})
	if err != nil {
		return false, err
	}
	services := []service{{Name: "ledger", HealthPath: "/health", MaxConns: 100, Protocol: "h1"}}
	hold := route{Name: "r-hold", Host: surplusHost, PathPrefix: "/lohu930/", Kind: "unsafe", TimeoutMs: 1500, TargetMs: 150, Priority: 1, Service: "ledger", MaxAttempts: 2}
	card := hold
	card.Name, card.PathPrefix, card.MaxAttempts = "r-card", "/pufi791/", 1
	if err := stage.replace(ctx, newConfiguration(1, services, hold, card)); err != nil {
		return false, err
	}
	if err := stage.awaitReady(ctx); err != nil {
		return false, err
	}
	if err := awaitServed(ctx, stage, "/lohu930/2f"); err != nil {
		return false, err
	}
	calls, stop := context.WithTimeout(ctx, surplusTime)
	defer stop()
	answers := &answerTable{statuses: map[string]int{}}
	var callers sync.WaitGroup
	for number := range surplusCallers {
		target := "/lohu930/2f"
		if number >= surplusCallers/2 {
			target = "/pufi791/2f"
		}
		callers.Go(func() { callOften(calls, stage, number, target, answers) })
	}
	callers.Wait()
	return judgeRuns(stage, workers, answers), nil
}

// lateSurplus returns the bytes behind an earlier answer on the connection, if it is to have any.
func lateSurplus(request *workerRequest) []byte {
	if request.onConnection == 1 || rand.Float64() >= surplusShare {
		return nil
	}
	request.log.write("worker: more bytes behind the answer before that to %s: 503 without an id", request.Header.Get("X-Attempt-Id"))
	return []byte(surplusAnswer)
}

// answerTable has the status that clients got, by the id of their requests.
type answerTable struct {
	mutex    sync.Mutex
	statuses map[string]int
}

func (t *answerTable) put(id string, status int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.statuses[id] = status
}

// callOften sends requests on a kept connection, each with an id of its own, until ctx ends.
func callOften(ctx context.Context, stage *stage, number int, target string, answers *answerTable) {
	var connected *client
	for count := 0; ctx.Err() == nil; count++ {
		if connected == nil {
			opened, err := dial(stage.frontAddress(number % len(stage.fronts)))
			if err != nil {
				_ = pause(ctx, surplusPause)
				continue
			}
			connected = opened
		}
		id := fmt.Sprintf("call-%d-%d", number, count)
		stage.log.write("client: %s sends POST %s", id, target)
		_, err := connected.connection.Write([]byte(head("POST", target, surplusHost, id, 1500*time.Millisecond, 0)))
		got := answer{}
		if err == nil {
			got, err = connected.read("POST", 3*time.Second)
		}
		stage.log.write("client: %s answered %d, X-Response-Seal %q, %v", id, got.status, got.header.Get("X-Response-Seal"), err)
		if err != nil {
			connected.close()
			connected = nil
		} else {
			answers.put(id, got.status)
		}
		_ = pause(ctx, surplusPause)
	}
	if connected != nil {
		connected.close()
	}
}

// judgeRuns counts the requests that ran more than once, or ran and were answered with 503 or 429.
func judgeRuns(stage *stage, workers []*worker, answers *answerTable) bool {
	runs := map[string]int{}
	for _, ran := range allRuns(workers) {
		runs[ran.id]++
	}
	twice, refused := 0, 0
	for id, count := range runs {
		if count > 1 {
			twice++
			stage.log.write("TWICE: %s ran %d times, the client got %d", id, count, answers.statuses[id])
		}
		if status := answers.statuses[id]; status == 503 || status == 429 {
			refused++
			stage.log.write("REFUSED: %s ran, the client got %d", id, status)
		}
	}
	stage.log.write("%d requests ran, %d of them more than once, %d of them were refused", len(runs), twice, refused)
	return twice > 0
}
