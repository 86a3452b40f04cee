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

// Request is one request to a machine. Method, target and body are sent unchanged.
type Request struct {
	Machine string
	// Address is an IP address and a port.
	Address string
	Method  string
	// Target is the path and query as received from the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection disables the use of idle connections, which the machine may close at the same
	// moment.
	NewConnection bool
	// Prepare, if set, is called once there is a connection, just before anything is written. An
	// error ends the exchange as not sent.
	Prepare func(header http.Header) error
	// Matches, if set, reports whether a response belongs to this request.
	Matches func(header http.Header) bool
	// MaxUnrelayedBytes replaces the default of the same name if it is not 0.
	MaxUnrelayedBytes int
}

// Failure is how far a failed exchange got.
type Failure int

const (
	// FailureNone: there is a response.
	FailureNone Failure = iota
	// FailureConnect: nothing was written.
	FailureConnect
	// FailureStale: a reused connection broke before any byte of a response. The request may have
	// run.
	FailureStale
	// FailureBroken: the request may have run.
	FailureBroken
)

// String returns the failure's name in logs. It panics for undefined failures.
func (f Failure) String() string {
	return [...]string{"none", "not_connected", "stale_connection", "broken"}[f]
}

// Framing is how the end of a response's body is marked.
type Framing int

const (
	// FramingLength: the body has a known length, or there is none.
	FramingLength Framing = iota
	// FramingChunked: the last chunk marks the end.
	FramingChunked
	// FramingClose: the body ends with its connection. It can't be distinguished from one that was cut off.
	FramingClose
)

// String returns the framing's name in logs and metrics. It panics for undefined framings.
func (f Framing) String() string {
	return [...]string{"length", "chunked", "close"}[f]
}

// FramingOf returns the framing of a response that was not decompressed.
func FramingOf(response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return FramingChunked
	case response.ContentLength >= 0 || response.Body == http.NoBody:
		return FramingLength
	}
	return FramingClose
}

// Response is the head of a response and its unread body. Close must be called. At most MaxUnrelayedBytes are read of the
// machine until Relay is called.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 if unknown.
	ContentLength int64
	Framing       Framing
	// ConnectedAt is when the machine's connection was opened.
	ConnectedAt time.Time
	Body        io.Reader

	pool         *Pool
	conn         *conn
	httpResponse *http.Response
	// requestSent is set once the whole request has been written.
	requestSent  *atomic.Bool
	stopWatching func() bool
	complete     bool
	readFailed   bool
	released     bool
}

// maxSkippedResponses bounds the responses to earlier requests that are skipped.
const maxSkippedResponses = 4

// Do sends a request and reads the head of its response. The end of ctx closes the connection,
// which tells the machine to stop.
func (p *Pool) Do(ctx context.Context, request *Request) (*Response, Failure, error) {
	connection, err := p.acquire(ctx, request.Machine, request.Address, request.NewConnection)
	if err != nil {
		return nil, FailureConnect, err
	}
	if request.Prepare != nil {
		if err := request.Prepare(request.Header); err != nil {
			p.putUnused(connection)
			return nil, FailureConnect, err
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.network.Close() })
	response, err := connection.exchange(request)
	if err != nil {
		stop()
		_ = connection.network.Close()
		if connection.reused {
			return nil, FailureStale, err
		}
		return nil, FailureBroken, err
	}
	response.pool, response.stopWatching = p, stop
	return response, FailureNone, nil
}

// putUnused returns a connection on which nothing was written.
func (p *Pool) putUnused(connection *conn) {
	if connection.reused {
		p.putIdle(connection, time.Until(connection.expiresAt))
		return
	}
	_ = connection.network.Close()
}

// exchange writes a long request concurrently with reading the response, since a machine may
// respond before it has read the body.
func (c *conn) exchange(request *Request) (*Response, error) {
	c.bound.begin(request)
	sent := &atomic.Bool{}
	endRequest := c.network.beginRequest()
	write := func() error {
		err := c.write(request)
		sent.Store(err == nil)
		endRequest(err)
		return err
	}
	if len(request.Body) > maxInlineBodyBytes {
		go func() { _ = write() }() // The reader of the response gets the error.
	} else if err := write(); err != nil {
		return nil, err
	}
	for range maxSkippedResponses {
		response, err := c.readHead(request.Method)
		if err != nil {
			return nil, fault.Unavailable.Wrap(err, "reading a response from machine %s", c.machine)
		}
		if request.Matches == nil || request.Matches(response.Header) {
			return &Response{
				Status: response.StatusCode, Header: response.Header, ContentLength: response.ContentLength, Framing: FramingOf(response),
				Body: response.Body, ConnectedAt: c.openedAt, conn: c, httpResponse: response, requestSent: sent,
			}, nil
		}
		// A late response to an earlier request.
		if FramingOf(response) == FramingClose || response.Close {
			break
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, fault.Protocol.Wrap(err, "discarding a response to another request")
		}
	}
	return nil, fault.Protocol.New("machine %s responds to other requests", c.machine)
}

// maxInlineBodyBytes fits into the socket buffers, so that writing does not wait for the machine
// to read.
const maxInlineBodyBytes = 8 << 10

// readHead reads heads until one that is not of an interim response.
func (c *conn) readHead(method string) (*http.Response, error) {
	// A response to an earlier request may have been read together with the beginning of this one.
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	if err := c.network.expectHead(buffered); err != nil {
		return nil, err
	}
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := checkHead(response); err != nil {
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
func (r *Response) Read(buffer []byte) (int, error) {
	count, err := r.Body.Read(buffer)
	if err == io.EOF {
		r.complete = true
	}
	r.readFailed = err != nil && !r.complete
	if r.complete {
		r.Close() // A slow client must not hold the connection.
	}
	return count, err
}

// Relay removes the bound on what is read of the machine, as the body is now passed on as fast as it is read.
func (r *Response) Relay() { r.conn.bound.unbounded = true }

// ReadFailed reports whether the body broke off.
func (r *Response) ReadFailed() bool { return r.readFailed }

const (
	// maxDiscardBytes and discardTimeout bound what is read of a body that nobody takes, to keep its connection.
	maxDiscardBytes = 16 << 10
	discardTimeout  = 100 * time.Millisecond
)

// Discard reads the rest of a short body to keep its connection, and ends the exchange. It does not wait for a body that
// does not come.
func (r *Response) Discard() {
	if r.released {
		return // The connection may be in use for another exchange.
	}
	if r.Framing == FramingClose {
		r.Close() // Its connection can't be kept.
		return
	}
	timer := time.AfterFunc(discardTimeout, func() { _ = r.conn.network.Close() })
	count, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscardBytes+1))
	r.complete = timer.Stop() && err == nil && count <= maxDiscardBytes
	r.Close()
}

// Close ends the exchange, unless it has ended. The connection is kept only if the request and the response are
// complete and the connection may be reused.
func (r *Response) Close() {
	if r.released {
		return
	}
	r.released = true
	intact := r.stopWatching()
	lifetime, reusable := keepAlive(r.Header)
	if !intact || !r.complete || !r.requestSent.Load() || r.httpResponse.Close || r.Framing == FramingClose || !reusable || r.conn.reader.Buffered() > 0 {
		_ = r.conn.network.Close()
		return
	}
	r.pool.putIdle(r.conn, lifetime)
}

// keepAlive returns how long a machine keeps an idle connection, 0 if it does not say, and whether
// the connection may be reused at all. The advertised time is reduced, since the machine started
// its timer earlier.
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

// hopHeaders are the hop-by-hop headers.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host",
}

// EndToEndHeaders copies the headers that are not hop-by-hop.
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

// AddressOf returns the host and port of an http endpoint.
func AddressOf(endpoint string) string {
	address := strings.TrimPrefix(endpoint, "http://")
	if _, _, err := net.SplitHostPort(address); err != nil {
		return net.JoinHostPort(address, "80")
	}
	return address
}
