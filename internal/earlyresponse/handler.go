// Package earlyresponse ends HTTP exchanges that are answered before the body of their request has been read.
//
// The response is sent at once, also while the client is still sending. The connection serves another request only after
// the body was read to its marked end; otherwise it is closed, after a time in which the client can read the response.
// A handler that sends no response closes the connection, instead of sending an empty success.
package earlyresponse

import (
	"log/slog"
	"net/http"

	"github.com/weldline/weldline/internal/fault"
)

// Handler serves requests with another handler. Responses that this one begins before it has read the request's body are
// sent at once if it states their length.
type Handler struct {
	Next   http.Handler
	Logger *slog.Logger
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler to have the server close the connection.
func (h Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body := &trackedBody{ReadCloser: request.Body, ended: request.ContentLength == 0}
	response := &responseWriter{ResponseWriter: writer, request: request, body: body}
	if !body.ended {
		request = request.WithContext(request.Context()) // The server inspects the body of the original.
		request.Body = body
	}
	h.Next.ServeHTTP(response, request)
	if !response.headerWritten {
		h.Logger.Info("response_missing", "remote", request.RemoteAddr, "method", request.Method, "client_left", request.Context().Err() != nil)
		response.abort()
	}
	if !response.early || body.ended {
		return
	}
	discarded, err := response.endExchange()
	if body.ended && err == nil {
		return
	}
	fields := []any{
		"remote", request.RemoteAddr, "method", request.Method, "stated", request.ContentLength, "read", body.count, "discarded", discarded,
		"closes", response.closes,
	}
	if err != nil {
		fields = append(fields, "error", fault.Message(err))
	}
	h.Logger.Info("request_body_unread", fields...)
	response.abort()
}
