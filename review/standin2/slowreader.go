package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	readerHost = "ficu95.example"
	// Each answer has answerEvents events of about 50 bytes.
	answerEvents = 120
	// receiveBuffer is the receive buffer of a client's socket.
	receiveBuffer = 2048
	// readers send a stream request each; with the disruption they read nothing for readPause after the first event.
	readers   = 8
	readPause = 4 * time.Second
	// stopAfter is when the front gets SIGTERM, after the requests were sent.
	stopAfter = 300 * time.Millisecond
	graceTime = 8 * time.Second
)

// playSlowReaders stops a front as planned while clients receive streams. With the disruption they are slow to read.
func playSlowReaders(ctx context.Context, stage *stage, troubled bool) (broken bool, err error) {
	workers, err := stage.startWorkers(ctx, "pool", 3, 16, 20*time.Millisecond, func(_ int, added *worker) { added.events = answerEvents })
	if err != nil {
		return false, err
	}
	services := []service{{Name: "pool", HealthPath: "/health", MaxConns: 360, Protocol: "h1"}}
	summary := route{Name: "r-summary", Host: readerHost, PathPrefix: "/pufi791/", Kind: "streaming", TimeoutMs: 15000, TargetMs: 5000, Priority: 1, Service: "pool", MaxAttempts: 1}
	if err := stage.replace(ctx, newConfiguration(1, services, summary)); err != nil {
		return false, err
	}
	if err := stage.awaitReady(ctx); err != nil {
		return false, err
	}
	if err := awaitServed(ctx, stage, "/pufi791/2f"); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	var lost atomic.Int32
	for number := range readers {
		clients.Go(func() {
			if !readStream(stage, number, troubled) {
				lost.Add(1)
			}
		})
	}
	time.Sleep(stopAfter)
	stage.fronts[0].signal(syscall.SIGTERM)
	clients.Wait()
	if err := pause(ctx, time.Second); err != nil {
		return false, err
	}
	stage.log.write("%d requests ran at workers, %d of %d answers were cut within %s of the SIGTERM", len(allRuns(workers)), lost.Load(), readers, graceTime)
	return lost.Load() > 0, nil
}

// readStream sends a request and reads its stream. It reports whether the answer came whole.
func readStream(stage *stage, number int, slow bool) bool {
	id := fmt.Sprintf("stream-%d", number)
	dialer := net.Dialer{Timeout: clientConnectTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(descriptor uintptr) {
			failure = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if err != nil {
			return err
		}
		return failure
	}}
	connection, err := dialer.Dial("tcp", stage.frontAddress(0))
	if err != nil {
		stage.log.write("client: %s not connected: %v", id, err)
		return false
	}
	defer func() { _ = connection.Close() }()
	if _, err := io.WriteString(connection, head("POST", "/pufi791/2f", readerHost, id, 15*time.Second, 0)); err != nil {
		stage.log.write("client: %s not sent: %v", id, err)
		return false
	}
	stage.log.write("client: %s sent", id)
	_ = connection.SetReadDeadline(time.Now().Add(15 * time.Second))
	response, err := http.ReadResponse(bufio.NewReaderSize(connection, 512), &http.Request{Method: http.MethodPost})
	if err != nil {
		stage.log.write("client: %s: no answer: %v", id, err)
		return false
	}
	if slow {
		time.Sleep(readPause)
	}
	body, err := io.ReadAll(response.Body)
	stage.log.write("client: %s answered %d, %d of %d events, %v", id, response.StatusCode, strings.Count(string(body), "\n\n"), answerEvents, err)
	return err == nil
}
