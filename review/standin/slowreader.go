package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	slowClients = 8
	// readPause is how long a slow client does not read. Its request has a deadline of 10 s, and it would wait 16 s for
	// the next event, four times the objective of its route.
	readPause = 5 * time.Second
	// clientWindow is the receive buffer of a client: links have small windows.
	clientWindow = 4096
	streamEvents = 52
	eventPause   = 20 * time.Millisecond
)

// slowReader has clients read their streams slowly. The streams begin within config_apply_ms of a SIGHUP.
func slowReader(b *bench) bool {
	control, fronts := b.build(3, 1)
	front := fronts[0]
	for _, held := range append(control, front) {
		held.start(true)
	}
	need(b.replace(control, firstVersion, 10*time.Second), "the configuration was not taken")
	served := b.startWorker(1, control)
	defer served.close()
	served.events, served.pause = streamEvents, eventPause
	need(eventually(15*time.Second, func() bool {
		seen := stream(front.frontAddress(), "warm-up", 0)
		return seen.status == http.StatusOK && seen.complete
	}), "no stream is served")
	time.Sleep(4 * time.Second) // contact_ms in calm
	pause := time.Duration(0)
	if b.trouble {
		pause = readPause
	}
	front.signal(syscall.SIGHUP)
	b.record("SIGHUP to %s; its settings are unchanged", front.name)
	time.Sleep(500 * time.Millisecond)
	var clients sync.WaitGroup
	results := make([]answer, slowClients)
	for number := range slowClients {
		clients.Go(func() {
			id := fmt.Sprintf("client-%d", number)
			b.record("%s sends a stream request", id)
			results[number] = stream(front.frontAddress(), id, pause)
			b.record("%s: status %d, %d of %d events, complete %t, error %v", id, results[number].status,
				strings.Count(results[number].body, "id: "), streamEvents, results[number].complete, results[number].err)
		})
	}
	clients.Wait()
	begun, repeated, finished := served.counts()
	b.record("worker: %d requests begun, %d more than once, %d answered whole", begun, repeated, finished)
	for _, line := range append(front.logLines(`"request_answered"`), front.logLines(`"request_broken_off"`)...) {
		b.record("%s's log: %s", front.name, line)
	}
	broken := 0
	for _, seen := range results {
		if !seen.complete || strings.Count(seen.body, "id: ") != streamEvents {
			broken++
		}
	}
	b.record("%d of %d answers ended before they were complete; %s still runs: %t", broken, slowClients, front.name, !front.hasEnded())
	return broken > 0
}

// stream sends a stream request and reads its answer with a pause after the first part.
func stream(address, id string, pause time.Duration) answer {
	connection, err := dialFront(address, clientWindow)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = connection.Close() }()
	if err := send(connection, http.MethodPost, streamPath, id, "prompt", routeTimeout); err != nil {
		return answer{err: err}
	}
	return receive(connection, pause)
}

func (n *node) signal(number syscall.Signal) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	_ = n.command.Process.Signal(number)
}

// hasEnded reports whether the process has ended.
func (n *node) hasEnded() bool {
	n.mutex.Lock()
	ended := n.ended
	n.mutex.Unlock()
	select {
	case <-ended:
		return true
	default:
		return false
	}
}
