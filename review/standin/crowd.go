package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxFiles is the lowest max_fds on the users' sheets.
	maxFiles = 3075
	// users is how many users come at once, each on a connection of their own that they keep.
	users        = 3200
	usersPerStep = 40
	// ownFiles is more than the stand-in needs besides the users' connections.
	ownFiles    = 500
	stepPause   = 100 * time.Millisecond
	keptClients = 12
	crowdWork   = 20 * time.Millisecond
	keptWork    = 1500 * time.Millisecond
)

// crowd has many users come at once to one front machine while a few clients use connections that they keep.
func crowd(b *bench) bool {
	limit := syscall.Rlimit{}
	need(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur > users+ownFiles, "this process may open too few files")
	control, fronts := b.build(3, 1)
	front := fronts[0]
	front.maxFiles = maxFiles
	for _, held := range append(control, front) {
		held.start(true)
	}
	need(b.replace(control, firstVersion, 10*time.Second), "the configuration was not taken")
	served := b.startWorker(1, control)
	defer served.close()
	served.events, served.work, served.longWork = 1, crowdWork, keptWork
	need(eventually(15*time.Second, func() bool {
		return stream(front.frontAddress(), "warm-up", 0).complete
	}), "nothing is served")
	time.Sleep(4 * time.Second) // contact_ms in calm
	var stopped atomic.Bool
	var clients sync.WaitGroup
	var unanswered, answered atomic.Int64
	for number := range keptClients {
		clients.Go(func() { b.keptClient(front, served, number, &stopped, &answered, &unanswered) })
	}
	time.Sleep(time.Second)
	opened := []net.Conn{}
	if b.trouble {
		opened = b.openCrowd(front)
	} else {
		time.Sleep(users / usersPerStep * stepPause)
	}
	time.Sleep(4 * time.Second)
	stopped.Store(true)
	clients.Wait()
	for _, connection := range opened {
		_ = connection.Close()
	}
	begun, repeated, finished := served.counts()
	b.record("worker: %d requests begun, %d more than once, %d answered whole", begun, repeated, finished)
	for _, line := range front.logLines(`"role_failed"`) {
		b.record("%s's log: %s", front.name, line)
	}
	b.record("%s's log has %d lines with \"too many open files\"", front.name, len(front.logLines("too many open files")))
	b.record("kept connections: %d answers, %d connections closed without one after the worker had begun; %s has ended by itself: %t",
		answered.Load(), unanswered.Load(), front.name, front.hasEnded())
	return unanswered.Load() > 3
}

// keptClient sends requests one after the other on one connection.
func (b *bench) keptClient(front *node, served *worker, number int, stopped *atomic.Bool, answered, unanswered *atomic.Int64) {
	connection, err := dialFront(front.frontAddress(), 0)
	need(err == nil, "no connection: %v", err)
	defer func() { _ = connection.Close() }()
	for request := 0; !stopped.Load(); request++ {
		id := fmt.Sprintf("%s%d-%d", keptPrefix, number, request)
		if err := send(connection, http.MethodPost, unsafePath, id, "card", routeTimeout); err != nil {
			b.record("%s: not sent: %v", id, err)
			return
		}
		seen := receive(connection, 0)
		if seen.complete && seen.status == http.StatusOK {
			answered.Add(1)
			continue
		}
		passedOn := served.hasBegun(id)
		b.record("%s: passed on %t, status %d, complete %t, error %v", id, passedOn, seen.status, seen.complete, seen.err)
		if passedOn && seen.status == 0 {
			unanswered.Add(1)
		}
		return
	}
}

// openCrowd opens the users' connections. Each sends a request and then rests, for less than idle_timeout_ms.
func (b *bench) openCrowd(front *node) []net.Conn {
	var mutex sync.Mutex
	var opened []net.Conn
	var served, failed atomic.Int64
	var all sync.WaitGroup
	started := time.Now()
	for step := 0; step < users/usersPerStep; step++ {
		for position := range usersPerStep {
			id := fmt.Sprintf("user-%d", step*usersPerStep+position)
			all.Go(func() {
				connection, err := dialFront(front.frontAddress(), 0)
				if err != nil {
					failed.Add(1)
					return
				}
				mutex.Lock()
				opened = append(opened, connection)
				mutex.Unlock()
				_ = connection.SetReadDeadline(time.Now().Add(routeTimeout))
				if send(connection, http.MethodPost, unsafePath, id, "card", routeTimeout) == nil && receive(connection, 0).complete {
					served.Add(1)
				}
			})
		}
		time.Sleep(stepPause)
		if front.hasEnded() {
			b.record("%s has ended after %d connections of users", front.name, (step+1)*usersPerStep)
			break
		}
	}
	all.Wait()
	b.record("%d users connected within %s, %d were served, %d found no listener", len(opened), time.Since(started).Round(time.Millisecond),
		served.Load(), failed.Load())
	return opened
}
