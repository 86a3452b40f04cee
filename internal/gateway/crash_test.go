package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/weldline/weldline/api/engine"
	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/quarantine"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// addCrashingEngines declares machines whose engines crash when they run a request that contains
// the word culprit: the connection breaks, for a stream after its first event, and new ones are
// refused. It returns a counter of the crashes.
func addCrashingEngines(d *deployment, count int) *atomic.Int64 {
	d.t.Helper()
	ended := &atomic.Int64{}
	d.write(put(v1.KindModel, "cold", v1.ModelSpec{DefaultVersion: "cold.v1", MaxReplicas: count}))
	for number := range count {
		name := fmt.Sprintf("crashing-%d", number)
		var server *httptest.Server
		server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			body, err := io.ReadAll(request.Body)
			writer.Header().Set(engine.HeaderRequestID, request.Header.Get(engine.HeaderRequestID))
			if err == nil && !strings.Contains(string(body), "culprit") {
				writer.Header().Set("Content-Type", "application/json")
				_, _ = io.WriteString(writer, `{}`)
				return
			}
			ended.Add(1)
			_ = server.Listener.Close()
			if strings.Contains(string(body), `"stream":true`) {
				writer.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(writer, "data: first\n\n")
				_ = http.NewResponseController(writer).Flush()
			}
			panic(http.ErrAbortHandler)
		}))
		d.t.Cleanup(server.Close)
		d.write(
			put(v1.KindMachine, name, v1.MachineSpec{Endpoint: server.URL, Zone: "z", Accelerators: 1, AcceleratorBytes: 80 * gibibyte}),
			&wirepb.ObjectWrite{Operation: wirepb.ObjectWrite_OPERATION_PUT_STATUS, Object: &wirepb.Object{
				Kind: string(v1.KindMachine), Name: name, Status: []byte(`{"phase":"Live","incarnation":7}`),
			}},
		)
		d.write(put(v1.KindReplica, "r-"+name, v1.ReplicaSpec{
			Model: "cold", Version: "cold.v1", Machine: name, Incarnation: 7, Accelerators: []int{0},
			BytesPerAccelerator: 3 * gibibyte, MaxConcurrent: 4, Phase: v1.ReplicaReady,
		}))
	}
	return ended
}

// TestCrashingRequestRefused resends a request that crashes engines. The gateway's own
// retries count as well.
func TestCrashingRequestRefused(t *testing.T) {
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprintf("stream %t", stream), func(t *testing.T) {
			d := deploy(t, "")
			ended := addCrashingEngines(d, 10)
			ask := func(word string, stream bool) (int, string) {
				response, err := http.Post(d.server.URL+"/v1/completions", "application/json",
					strings.NewReader(fmt.Sprintf(`{"model":"cold","prompt":%q,"stream":%t}`, word, stream)))
				if err != nil {
					return 0, err.Error()
				}
				defer func() { _ = response.Body.Close() }()
				body, err := io.ReadAll(response.Body)
				return response.StatusCode, fmt.Sprint(string(body), err)
			}
			for range 6 {
				ask("culprit", stream)
				for !d.gateway.CrashesSettled() {
					time.Sleep(time.Millisecond)
				}
			}
			if count := ended.Load(); count > quarantine.RequestThreshold+1 {
				t.Errorf("one request crashed %d engines", count)
			}
			if status, body := ask("culprit", stream); status != 503 || !strings.Contains(body, "/quarantined") {
				t.Errorf("the quarantined request got %d %s", status, body)
			}
			// No agent reports crashed engines, so the gateway detects them only by sending requests.
			status, body := 0, ""
			for try := 0; try < 10 && status != 200; try++ {
				status, body = ask("innocent", false)
			}
			if status != 200 {
				t.Errorf("another request got %d %s", status, body)
			}
		})
	}
}
