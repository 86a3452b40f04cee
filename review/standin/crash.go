package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// The service has one worker in each zone, as on the sheet. CRASH sets how many of them crash.
	allWorkers = 4
	// otherWorkers serve another service and run on.
	otherWorkers = 3
	// Requests for the standings are alike: every user reads the same table.
	tableInterval = 50 * time.Millisecond
	cardInterval  = 150 * time.Millisecond
	tableWork     = 200 * time.Millisecond
	workersDown   = 2 * time.Second
	settleTime    = 8 * time.Second
	judgedTime    = 30 * time.Second
	// A route added later must be served at least this share as often as the first ones.
	minServedShare = 0.25
	minRequests    = 20
)

// tally counts the requests of a route.
type tally struct {
	sent, served atomic.Int64
	mutex        sync.Mutex
	answers      map[string]int
}

func (t *tally) share() float64 {
	return float64(t.served.Load()) / float64(max(1, t.sent.Load()))
}

// workerCrash crashes all workers of a service once, and compares how often a route added later and the first routes are
// served from some seconds after they are back.
func workerCrash(b *bench) bool {
	crashWorkers, err := strconv.Atoi(os.Getenv("CRASH"))
	if err != nil {
		crashWorkers = allWorkers
	}
	control, fronts := b.build(3, 2)
	for _, held := range append(append([]*node{}, control...), fronts...) {
		held.start(true)
	}
	need(b.replace(control, firstVersion, 10*time.Second), "the configuration was not taken")
	var workers []*worker
	for number := range allWorkers {
		address := net.JoinHostPort(workerIP(number+1), "0")
		created := b.startWorkerAt(fmt.Sprintf("i-%08x", number+1), serviceName, zones[number], address, control)
		created.work = tableWork
		workers = append(workers, created)
	}
	for number := range otherWorkers {
		address := net.JoinHostPort(workerIP(allWorkers+number+1), "0")
		other := b.startWorkerAt(fmt.Sprintf("i-%08x", 50+number), poolName, zones[number], address, control)
		defer other.close()
	}
	defer func() {
		for _, held := range workers {
			held.close()
		}
	}()
	need(b.replace(control, secondVersion, 10*time.Second), "the later route was not taken")
	for _, front := range fronts {
		need(eventually(15*time.Second, func() bool {
			return get(front, tablePath, "warm-up").status == http.StatusOK
		}), "%s does not serve the later route", front.name)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var phase atomic.Pointer[map[string]*tally]
	phase.Store(newTallies())
	clients.Go(func() { load(fronts, &phase, tablePath, tableInterval, stop) })
	clients.Go(func() { load(fronts, &phase, unsafePath, cardInterval, stop) })
	time.Sleep(5 * time.Second)
	b.recordTallies("before", *phase.Load())
	for _, held := range workers {
		b.recordWorker(held)
	}
	if b.trouble {
		for _, held := range workers[:crashWorkers] {
			held.close()
		}
		b.record("%d of %d workers crash", crashWorkers, allWorkers)
		time.Sleep(workersDown)
		for number, crashed := range workers[:crashWorkers] {
			b.recordWorker(crashed)
			workers[number] = b.startWorkerAt(fmt.Sprintf("i-%08x", 100+number), serviceName, crashed.zone, crashed.address, control)
			workers[number].work = tableWork
		}
		b.record("they are back under new ids")
	}
	time.Sleep(settleTime)
	judged := newTallies()
	phase.Store(judged)
	time.Sleep(judgedTime)
	phase.Store(newTallies())
	close(stop)
	clients.Wait()
	b.recordTallies("judged", *judged)
	for _, held := range workers {
		b.recordWorker(held)
	}
	for _, front := range fronts {
		if lines := front.logLines(`"request_quarantined"`); len(lines) > 0 {
			b.record("%s's log: %s", front.name, lines[0])
		}
	}
	later, first := (*judged)[tablePath], (*judged)[unsafePath]
	need(later.sent.Load() >= minRequests && first.sent.Load() >= minRequests, "too few requests")
	return later.share() < minServedShare*first.share()
}

func newTallies() *map[string]*tally {
	return &map[string]*tally{tablePath: {answers: map[string]int{}}, unsafePath: {answers: map[string]int{}}}
}

func (b *bench) recordTallies(when string, tallies map[string]*tally) {
	for _, path := range []string{unsafePath, tablePath} {
		counted := tallies[path]
		counted.mutex.Lock()
		b.record("%s: %s sent %d, served %d; answers: %v", when, path, counted.sent.Load(), counted.served.Load(), counted.answers)
		counted.mutex.Unlock()
	}
}

func (b *bench) recordWorker(held *worker) {
	begun, repeated, finished := held.counts()
	b.record("worker %s in %s: %d requests begun, %d more than once, %d answered whole", held.id, held.zone, begun, repeated, finished)
}

var requestNumber atomic.Int64

// load sends requests of users at an interval, each on a new connection, to the fronts in turn.
func load(fronts []*node, phase *atomic.Pointer[map[string]*tally], path string, interval time.Duration, stop <-chan struct{}) {
	var users sync.WaitGroup
	defer users.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		number := requestNumber.Add(1)
		counted := (*phase.Load())[path]
		users.Go(func() {
			counted.sent.Add(1)
			seen := get(fronts[number%int64(len(fronts))], path, fmt.Sprintf("user-%d", number))
			text := fmt.Sprintf("status %d", seen.status)
			if seen.status == http.StatusOK && seen.complete {
				counted.served.Add(1)
			}
			counted.mutex.Lock()
			defer counted.mutex.Unlock()
			counted.answers[text]++
		})
	}
}

// get sends one request on a new connection. Cards are written, each with a body of its own; the standings are read.
func get(front *node, path, id string) answer {
	connection, err := dialFront(front.frontAddress(), 0)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = connection.Close() }()
	method, body := http.MethodGet, ""
	if path == unsafePath {
		method, body = http.MethodPost, "card of "+id
	}
	if err := send(connection, method, path, id, body, routeTimeout); err != nil {
		return answer{err: err}
	}
	return receive(connection, 0)
}
