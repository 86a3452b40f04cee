package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/weldline/weldline/api/engine"
)

// Backend emulates a worker of a generic pool. It does not deduplicate requests: running each one at
// most once is weldline's responsibility.
type Backend struct {
	config  BackendConfig
	faults  *faultInjector
	auditor *auditor
}

// backendResponse echoes the request, so that a client can check that the response is its own.
type backendResponse struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	Key    string `json:"key,omitempty"`
}

func (b *Backend) serve(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxRequestBytes))
	if err != nil {
		return
	}
	key := request.Header.Get(engine.HeaderIdempotencyKey)
	if key != "" && request.Method == http.MethodPost {
		b.auditor.recordExecution(b.config.Name + "|" + strings.TrimPrefix(request.URL.Path, "/") + "|" + key)
	}
	time.Sleep(b.config.Latency)
	if b.faults.draw(func(faults Faults) float64 { return faults.LostAnswer }) {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set(engine.HeaderRequestID, request.Header.Get(engine.HeaderRequestID))
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(backendResponse{
		Method: request.Method, Path: request.URL.Path, Body: string(body), Key: key,
	})
}
