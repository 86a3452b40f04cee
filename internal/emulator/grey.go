package emulator

import (
	"net/http"
	"strings"

	"github.com/weldline/weldline/api/engine"
)

// greyed returns the handler of one of some workers: the first ones are grey, as many as
// the configuration says.
func (w *Environment) greyed(handler http.Handler, position, workers int) http.Handler {
	if position >= w.config.Grey.count(workers) {
		return handler
	}
	return &greyHandler{next: handler, errors: w.config.Grey.Errors, faults: w.faults}
}

// greyHandler fails a share of the requests at once, as a server does that has lost
// something it needs. Reports and orders are answered as ever.
type greyHandler struct {
	next   http.Handler
	errors float64
	faults *faultSource
}

// ServeHTTP implements http.Handler.
func (g *greyHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if isRequest(request.URL.Path) && g.faults.draw(func(Faults) float64 { return g.errors }) {
		writer.Header().Set(engine.HeaderRequestID, request.Header.Get(engine.HeaderRequestID))
		http.Error(writer, "the worker is broken", http.StatusInternalServerError)
		return
	}
	g.next.ServeHTTP(writer, request)
}

// isRequest tells a caller's request from what the control plane asks of an engine.
func isRequest(path string) bool {
	return path != "/v1/report" && path != "/v1/orders" && !strings.HasPrefix(path, "/emulator/")
}
