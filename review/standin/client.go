package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// answer is what a client has seen of an answer.
type answer struct {
	status int
	seal   string
	body   string
	// complete is set if the end of the answer was marked and reached.
	complete bool
	err      error
}

// dialFront opens a client's connection. window is the size of the client's receive buffer, 0 for the default.
func dialFront(address string, window int) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second}
	if window > 0 {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
			})
		}
	}
	return dialer.Dial("tcp", address)
}

// send writes a request of a client.
func send(connection net.Conn, method, path, id, body string, deadline time.Duration) error {
	_, err := fmt.Fprintf(connection, "%s %s1 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, host, id, strconv.FormatInt(deadline.Milliseconds(), 10), len(body), body)
	return err
}

// receive reads an answer. After the first part of its body the client does not read for a time.
func receive(connection net.Conn, pause time.Duration) answer {
	response, err := http.ReadResponse(bufio.NewReaderSize(connection, 512), nil)
	if err != nil {
		return answer{err: err}
	}
	seen := answer{status: response.StatusCode, seal: response.Header.Get("X-Response-Seal")}
	first := make([]byte, 64)
	count, err := io.ReadFull(response.Body, first)
	if err == nil && pause > 0 {
		time.Sleep(pause)
	}
	text := strings.Builder{}
	text.Write(first[:count])
	if err == nil {
		_, err = io.Copy(&text, response.Body)
	}
	_ = response.Body.Close()
	seen.body, seen.err, seen.complete = text.String(), err, err == nil
	return seen
}
