package httpconn

import (
	"context"
	"net"
	"net/http"

	"github.com/weldline/weldline/internal/tcpopt"
)

type connectionKey struct{}

// ConnContext is for http.Server.ConnContext. It lets handlers find the connection of their request.
func ConnContext(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// FromContext returns the connection that a request came from, nil if its server has no ConnContext.
func FromContext(ctx context.Context) net.Conn {
	connection, _ := ctx.Value(connectionKey{}).(net.Conn)
	return connection
}

// newHandler returns a handler for the requests of tracked connections, which another one serves. Once a tracker announces that its
// connections are closed, so do the responses.
func newHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		connection, isTracked := tcpopt.Below[*Conn](FromContext(request.Context()))
		if !isTracked {
			next.ServeHTTP(writer, request)
			return
		}
		connection.expectBody(request.ContentLength)
		response := &responseWriter{ResponseWriter: writer, connection: connection}
		response.announceClose() // The next handler may read the header to decide whether to keep the connection.
		next.ServeHTTP(response, request)
	})
}

// responseWriter adds "Connection: close" to the last response of a connection.
type responseWriter struct {
	http.ResponseWriter
	connection *Conn
}

// Unwrap is for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.announceClose() // A stop may have begun since the request arrived.
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *responseWriter) announceClose() {
	if w.connection.isLastResponse() {
		w.Header().Set("Connection", "close")
	}
}
