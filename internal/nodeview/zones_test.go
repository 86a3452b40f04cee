package nodeview

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestDrainSurvivesAList: a node whose feed begins anew is sent the whole state, which holds the
// drain as one object among others, in any order. It must not offer a target in between.
func TestDrainSurvivesAList(t *testing.T) {
	encode := func(value any) []byte {
		encoded, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return encoded
	}
	machine := &wirepb.WatchEvent{Object: &wirepb.Object{
		Kind: string(v1.KindMachine), Name: "m", Revision: 1, Status: encode(&v1.MachineStatus{Phase: v1.MachineLive}),
		Spec: encode(&v1.MachineSpec{Endpoint: "http://10.0.0.1:80", Zone: "z", Pool: "pool", Slots: 4}),
	}}
	drain := &wirepb.WatchEvent{Object: &wirepb.Object{
		Kind: string(v1.KindZoneDrain), Name: "z", Revision: 2, Spec: encode(&v1.ZoneDrainSpec{Drained: true}),
	}}
	view := New()
	for revision, events := range [][]*wirepb.WatchEvent{{machine, drain}, {drain, machine}} {
		view.Apply(feed.Changes{Reset: true, Events: events, Revision: uint64(revision + 2)})
		if targets := view.RegisteredTargets(); len(targets) != 0 || !view.ZoneDrained("z") {
			t.Errorf("list %d: %v", revision, targets)
		}
	}
}

// TestDrainIsLoggedOnce: orders are given again when answers are lost.
func TestDrainIsLoggedOnce(t *testing.T) {
	var written bytes.Buffer
	logger := slog.New(slog.NewTextHandler(&written, nil))
	log := NewDrainLog(logger, NewDrainGauge(prometheus.NewRegistry(), "test_zone_drained"))
	now := time.Unix(1000, 0)
	for revision, drained := range []bool{false, true, true, false} {
		log.InForce(now, map[string]ZoneDrain{"z": {Drained: drained, Revision: uint64(revision), OrderedAt: now.Add(-time.Second)}})
	}
	lines := strings.Split(strings.TrimSpace(written.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], "drained=true revision=1 age_ms=1000") || !strings.Contains(lines[1], "drained=false revision=3") {
		t.Errorf("logged\n%s", written.String())
	}
}
