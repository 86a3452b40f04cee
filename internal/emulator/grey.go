package emulator

import (
	"net/http"
	"strings"

	"github.com/weldline/weldline/api/engine"
)

// withGreyFailures wraps the handler of a worker if the worker is grey. The first workers of each kind
// are.
func (e *Environment) withGreyFailures(handler http.Handler, position, workers int) http.Handler {
	if position >= e.config.Grey.workerCount(workers) {
		return handler
	}
	return &greyHandler{next: handler, errors: e.config.Grey.Errors, faults: e.faults}
}

// greyHandler fails a fraction of the client requests. Reports and orders are unaffected.
type greyHandler struct {
	next   http.Handler
	errors float64
	faults *faultInjector
}

// ServeHTTP implements http.Handler.
func (g *greyHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if isClientRequest(request.URL.Path) && g.faults.draw(func(Faults) float64 { return g.errors }) {
		writer.Header().Set(engine.HeaderRequestID, request.Header.Get(engine.HeaderRequestID))
		http.Error(writer, "the worker is broken", http.StatusInternalServerError)
		return
	}
	g.next.ServeHTTP(writer, request)
}

// isClientRequest reports whether a path belongs to client traffic rather than the control plane.
func isClientRequest(path string) bool {
	return path != "/v1/report" && path != "/v1/orders" && !strings.HasPrefix(path, "/emulator/")
}
