package control

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/upstream/upstreamtest"
)

// Guards against a machine list that never ends, which was read until the process had no memory left.
func TestEndlessMachineListIsBounded(t *testing.T) {
	for name, parts := range map[string]struct{ first, repeated string }{
		"long string":   {`{"machines":[{"name":"`, strings.Repeat("x", 1<<16)},
		"many machines": {`{"machines":[`, strings.Repeat(`{"name":"machine"},`, 1<<12)},
		"blanks":        {"", strings.Repeat(" ", 1<<16)},
	} {
		t.Run(name, func(t *testing.T) {
			var taken atomic.Int64
			ended := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				defer close(ended)
				_, err := io.WriteString(writer, parts.first)
				for err == nil && taken.Load() < 4*maxMachineListBytes {
					var count int
					count, err = io.WriteString(writer, parts.repeated)
					taken.Add(int64(count))
				}
			}))
			defer server.Close()
			if _, err := fetchMachineList(t.Context(), newMachineListClient(time.Minute), server.URL); err == nil {
				t.Error("an endless list was read")
			}
			<-ended
			if taken.Load() > 2*maxMachineListBytes {
				t.Errorf("%d bytes were read", taken.Load())
			}
		})
	}
}

// Guards against a machine list in a response with an invalid head.
func TestInvalidMachineListIsRefused(t *testing.T) {
	for _, invalid := range upstreamtest.InvalidResponses() {
		endpoint := upstreamtest.Serve(t, func(*http.Request) string {
			return invalid.Text("Content-Type: application/json\r\n", `{"machines":[]}`)
		})
		if list, err := fetchMachineList(t.Context(), newMachineListClient(time.Minute), endpoint); err == nil {
			t.Errorf("%s: the list is %+v", invalid.Name, list)
		}
	}
}
