package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/weldline/weldline/api/engine"
)

// Backend emulates a worker of a generic pool, such as a ledger of seats. It
// deliberately does not recognise resent keys: that a request runs at most
// once is weldline's promise.
type Backend struct {
	config  BackendConfig
	faults  *faultSource
	auditor *auditor
}

// backendAnswer repeats what was asked, so that a caller can check that the
// answer is its own.
type backendAnswer struct {
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
		b.auditor.executed(b.config.Name + "|" + strings.TrimPrefix(request.URL.Path, "/") + "|" + key)
	}
	time.Sleep(b.config.Latency)
	if b.faults.draw(func(faults Faults) float64 { return faults.LostAnswer }) {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set(engine.HeaderRequestID, request.Header.Get(engine.HeaderRequestID))
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(backendAnswer{
		Method: request.Method, Path: request.URL.Path, Body: string(body), Key: key,
	})
}
