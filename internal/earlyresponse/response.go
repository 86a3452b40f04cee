package earlyresponse

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/weldline/weldline/internal/fault"
)

// maxKeptBytes is the rest of a body up to which it is read to keep the connection.
const maxKeptBytes = 256 << 10

// trackedBody is a request's body that records whether it was read to its marked end.
type trackedBody struct {
	io.ReadCloser
	count int64
	ended bool
	// invalid is set after an error other than io.EOF.
	invalid bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	b.count += int64(count)
	b.ended = b.ended || err == io.EOF
	b.invalid = b.invalid || err != nil && err != io.EOF
	return count, err
}

// responseWriter detects a response that begins before the request's body was read.
type responseWriter struct {
	http.ResponseWriter
	request       *http.Request
	body          *trackedBody
	headerWritten bool
	// early is set if the response is sent before the body has been read.
	early bool
	// closes is set if an early response announces that the connection ends with it.
	closes bool
}

// Unwrap is for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.headerWritten {
		w.headerWritten = true
		w.begin()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(content []byte) (int, error) {
	if !w.headerWritten {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(content)
}

// FlushError is for http.ResponseController.
func (w *responseWriter) FlushError() error {
	if !w.headerWritten {
		w.WriteHeader(http.StatusOK)
	}
	return w.controller().Flush()
}

func (w *responseWriter) controller() *http.ResponseController {
	return http.NewResponseController(w.ResponseWriter)
}

// begin decides how the exchange ends if the body has not been read. Without a stated length only the server can mark the
// end of the response, so that it has to read the body first, which it does by default.
func (w *responseWriter) begin() {
	if w.body.ended || w.Header().Get("Content-Length") == "" || w.controller().EnableFullDuplex() != nil {
		return
	}
	w.early = true
	w.closes = !w.canKeepConnection()
	if w.closes {
		w.Header().Set("Connection", "close")
	}
}

// canKeepConnection reports whether the rest of the body is short and certain to be sent.
func (w *responseWriter) canKeepConnection() bool {
	length := w.request.ContentLength
	return length > 0 && length-w.body.count <= maxKeptBytes && !w.body.invalid &&
		w.request.Header.Get("Expect") == "" && !strings.EqualFold(w.Header().Get("Connection"), "close")
}

// endExchange sends an early response and reads the rest of the request: to the end of the body if the connection is kept,
// otherwise what the client sends until it closes the connection, which could make it lose the response if it was unread.
func (w *responseWriter) endExchange() (discarded int64, err error) {
	controller := w.controller()
	if err := controller.Flush(); err != nil {
		return 0, fault.Unavailable.Wrap(err, "sending an early response")
	}
	if !w.closes {
		return discard(w.body, controller.SetReadDeadline)
	}
	connection, buffered, err := controller.Hijack()
	if err != nil {
		return 0, fault.Internal.Wrap(err, "taking over a connection")
	}
	defer func() { _ = connection.Close() }()
	closeWrite(connection)
	return discard(buffered, connection.SetReadDeadline)
}

// abort has the server close the connection. It does not return.
func (w *responseWriter) abort() {
	_ = w.controller().SetReadDeadline(time.Now()) // The server would first read some of the body.
	panic(http.ErrAbortHandler)
}
