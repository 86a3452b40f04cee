package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/weldline/weldline/internal/fault"
)

// Request is one request to a machine. Method, target and body go out as they
// are, byte for byte.
type Request struct {
	Machine string
	// Address is an IP address and a port.
	Address string
	Method  string
	// Target is the path with the query, as the caller wrote it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection asks for a new connection: a kept one may be closed by the machine
	// at the moment at which it is used.
	NewConnection bool
	// Prepare is called once a connection stands, just before anything is
	// written; an error ends the exchange as not sent. May be nil.
	Prepare func(header http.Header) error
	// Matches reports whether an answer is to this request; may be nil.
	Matches func(header http.Header) bool
}

// Failure tells how far an exchange came.
type Failure int

// The failures of an exchange.
const (
	// FailureNone: there is an answer.
	FailureNone Failure = iota
	// FailureConnect: nothing was written.
	FailureConnect
	// FailureStale: a kept connection broke before any byte of an answer. The
	// request may have run.
	FailureStale
	// FailureBroken: the request may have run.
	FailureBroken
)

// String names the failure in logs.
func (f Failure) String() string {
	return [...]string{"none", "not_connected", "stale_connection", "broken"}[f]
}

// Response is the head of an answer whose body is still to be read. Close must
// be called.
type Response struct {
	Status int
	Header http.Header
	// ContentLength of the body in bytes, -1 if it is not known before its end.
	ContentLength int64
	Body          io.Reader

	pool     *Pool
	conn     *conn
	response *http.Response
	// sent is set once the whole request has been written.
	sent  *atomic.Bool
	stop  func() bool
	whole bool
}

// maxSurplusAnswers bounds the answers to earlier requests that are skipped.
const maxSurplusAnswers = 4

// Do sends a request and reads the head of its answer. The end of ctx closes
// the connection, which tells the machine to stop.
func (p *Pool) Do(ctx context.Context, request *Request) (*Response, Failure, error) {
	connection, err := p.acquire(ctx, request.Machine, request.Address, request.NewConnection)
	if err != nil {
		return nil, FailureConnect, err
	}
	if request.Prepare != nil {
		if err := request.Prepare(request.Header); err != nil {
			p.putBack(connection)
			return nil, FailureConnect, err
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.network.Close() })
	answer, err := connection.exchange(request)
	if err != nil {
		stop()
		_ = connection.network.Close()
		if connection.reused {
			return nil, FailureStale, err
		}
		return nil, FailureBroken, err
	}
	answer.pool, answer.stop = p, stop
	return answer, FailureNone, nil
}

// putBack returns a connection on which nothing was written.
func (p *Pool) putBack(connection *conn) {
	if connection.reused {
		p.keep(connection, time.Until(connection.until))
		return
	}
	_ = connection.network.Close()
}

// exchange writes the request beside reading the answer: a machine may answer
// before it has read a long body.
func (c *conn) exchange(request *Request) (*Response, error) {
	sent := &atomic.Bool{}
	if len(request.Body) <= smallBodyBytes {
		err := c.write(request)
		sent.Store(err == nil)
		if err != nil {
			return nil, err
		}
	} else {
		go func() { sent.Store(c.write(request) == nil) }()
	}
	for range maxSurplusAnswers {
		response, err := readHead(c.reader, request.Method)
		if err != nil {
			return nil, fault.Unavailable.Wrap(err, "reading an answer of machine %s", c.machine)
		}
		if request.Matches == nil || request.Matches(response.Header) {
			return &Response{
				Status: response.StatusCode, Header: response.Header, ContentLength: response.ContentLength,
				Body: response.Body, conn: c, response: response, sent: sent,
			}, nil
		}
		// A late answer to an earlier request; this one's is still to come.
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 || response.Close {
			break
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, fault.Protocol.Wrap(err, "skipping an answer to another request")
		}
	}
	return nil, fault.Protocol.New("machine %s answers other requests", c.machine)
}

// smallBodyBytes fit into the windows of a connection, so that writing them
// does not wait for the machine to read.
const smallBodyBytes = 8 << 10

func readHead(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

func (c *conn) write(request *Request) error {
	writer := bufio.NewWriterSize(c.network, readBufferBytes)
	_, _ = writer.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if err := request.Header.Write(writer); err != nil {
		return fault.Unavailable.Wrap(err, "writing a request")
	}
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		_, _ = writer.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	_, _ = writer.WriteString("\r\n")
	_, _ = writer.Write(request.Body)
	if err := writer.Flush(); err != nil {
		return fault.Unavailable.Wrap(err, "writing a request")
	}
	return nil
}

// Read reads the body.
func (a *Response) Read(buffer []byte) (int, error) {
	count, err := a.Body.Read(buffer)
	if err == io.EOF {
		a.whole = true
	}
	return count, err
}

// Close ends the exchange. The connection is kept if the answer was read to
// its end and nothing speaks against it.
func (a *Response) Close() {
	intact := a.stop()
	lifetime, may := keepAlive(a.Header)
	framed := a.ContentLength >= 0 || len(a.response.TransferEncoding) > 0
	if !intact || !a.whole || !a.sent.Load() || a.response.Close || !framed || !may || a.conn.reader.Buffered() > 0 {
		_ = a.conn.network.Close()
		return
	}
	a.pool.keep(a.conn, lifetime)
}

// keepAlive returns for how long a machine keeps a resting connection, 0 if it
// does not say, and whether it may be used again at all. A part of the time is
// left out: the machine's clock started earlier.
func keepAlive(header http.Header) (time.Duration, bool) {
	for _, value := range header["Keep-Alive"] {
		for parameter := range strings.SplitSeq(value, ",") {
			name, number, _ := strings.Cut(strings.TrimSpace(parameter), "=")
			seconds, err := strconv.Atoi(strings.TrimSpace(number))
			if !strings.EqualFold(name, "timeout") || err != nil {
				continue
			}
			lifetime := time.Duration(seconds) * time.Second * 3 / 4
			return lifetime, lifetime > 0
		}
	}
	return 0, true
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host",
}

// EndToEndHeaders copies the headers that do not concern one connection only.
func EndToEndHeaders(header http.Header) http.Header {
	copied := header.Clone()
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			copied.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		delete(copied, name)
	}
	return copied
}

// AddressOf returns the address of an http endpoint.
func AddressOf(endpoint string) string {
	address := strings.TrimPrefix(endpoint, "http://")
	if _, _, err := net.SplitHostPort(address); err != nil {
		return net.JoinHostPort(address, "80")
	}
	return address
}
