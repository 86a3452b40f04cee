package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const clientConnectTimeout = time.Second

// client is one connection of a client to a front.
type client struct {
	connection net.Conn
	reader     *bufio.Reader
}

// dial connects to a front or to a proxy before it.
func dial(address string) (*client, error) {
	connection, err := net.DialTimeout("tcp", address, clientConnectTimeout)
	if err != nil {
		return nil, err
	}
	return &client{connection: connection, reader: bufio.NewReader(connection)}, nil
}

func (c *client) close() { _ = c.connection.Close() }

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
}

// read reads an answer to a request with a method.
func (c *client) read(method string, within time.Duration) (answer, error) {
	_ = c.connection.SetReadDeadline(time.Now().Add(within))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{}, err
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body)}, err
}

// head returns the head of a request.
func head(method, target, host, id string, deadline time.Duration, length int) string {
	text := &strings.Builder{}
	fmt.Fprintf(text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, target, host, id, deadline.Milliseconds())
	if length > 0 {
		fmt.Fprintf(text, "Content-Length: %d\r\n", length)
	}
	text.WriteString("\r\n")
	return text.String()
}
