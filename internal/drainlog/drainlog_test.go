package drainlog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/weldline/weldline/internal/nodeview"
)

// TestDrainIsLoggedOnce checks that a repeated order with the same state is not
// logged again.
func TestDrainIsLoggedOnce(t *testing.T) {
	var output bytes.Buffer
	logger := slog.New(slog.NewTextHandler(&output, nil))
	log := New(logger, NewGauge(prometheus.NewRegistry(), "test_zone_drained"))
	now := time.Unix(1000, 0)
	for revision, drained := range []bool{false, true, true, false} {
		log.Update(now, map[string]nodeview.ZoneDrain{"z": {Drained: drained, Revision: uint64(revision), OrderedAt: now.Add(-time.Second)}})
	}
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], "drained=true revision=1 age_ms=1000") || !strings.Contains(lines[1], "drained=false revision=3") {
		t.Errorf("logged\n%s", output.String())
	}
}
