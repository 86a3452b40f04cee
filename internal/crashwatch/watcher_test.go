package crashwatch_test

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/crashwatch"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/quarantine"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// manualProbe returns the results that the test sends.
type manualProbe struct {
	results chan bool
}

func (p *manualProbe) probe(ctx context.Context, _, _ string) (refused bool, err error) {
	select {
	case refuses := <-p.results:
		if !refuses {
			return false, nil
		}
		return true, fault.Unavailable.New("refused")
	case <-ctx.Done():
		return false, fault.Unavailable.New("no answer")
	}
}

func startWatcher(t *testing.T) (*crashwatch.Watcher, *manualProbe) {
	t.Helper()
	probe := &manualProbe{results: make(chan bool)}
	return startWatcherWith(t, probe.probe, func(*wirepb.Command) (*wirepb.CommandResult, error) {
		return nil, fault.Unavailable.New("no leader")
	}), probe
}

// startWatcherWith starts a watcher with the given probe and log.
func startWatcherWith(t *testing.T, probe crashwatch.ProbeFunc, propose func(*wirepb.Command) (*wirepb.CommandResult, error)) *crashwatch.Watcher {
	t.Helper()
	watcher := crashwatch.New(crashwatch.Options{
		View: nodeview.New(), Logger: slog.New(slog.DiscardHandler), Probe: probe,
		Propose: func(_ context.Context, command *wirepb.Command) (*wirepb.CommandResult, error) {
			return propose(command)
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		watcher.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return watcher
}

func refusalOf(watcher *crashwatch.Watcher, identity quarantine.Identity) string {
	document := watcher.Refusal(crashwatch.Request{Identity: func() quarantine.Identity { return identity }})
	if document == nil {
		return ""
	}
	return document.Kind()
}

// TestRequestIsHeldWhileItsMachinesAreProbed guards against running a request again while pending
// probes may quarantine it, which could crash another machine. It runs again if the machines turn
// out to be alive.
func TestRequestIsHeldWhileItsMachinesAreProbed(t *testing.T) {
	suspect, other := quarantine.Identity{1}, quarantine.Identity{2}
	for _, ended := range []bool{true, false} {
		watcher, probe := startWatcher(t)
		report := func(machine string, identity quarantine.Identity) {
			watcher.ReportBroken(quarantine.BrokenRequest{Machine: machine, Instance: machine, Identity: identity})
		}
		report("m1", suspect)
		if kind := refusalOf(watcher, suspect); kind != "" {
			t.Fatalf("the request is refused as %s after one broken response", kind)
		}
		report("m2", suspect)
		report("m3", other)
		if kind := refusalOf(watcher, suspect); kind != "unavailable" {
			t.Errorf("the request is refused as %q during two probes, want unavailable", kind)
		}
		if kind := refusalOf(watcher, other); kind != "" {
			t.Errorf("another request is refused as %s", kind)
		}
		for range 3 {
			probe.results <- ended
		}
		want := map[bool]string{true: "quarantined", false: ""}[ended]
		for end := time.Now().Add(10 * time.Second); refusalOf(watcher, suspect) != want && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if kind := refusalOf(watcher, suspect); kind != want {
			t.Errorf("machines ended %t: the request is refused as %q", ended, kind)
		}
	}
}

// TestRequestRunsAfterInconclusiveProbes guards against refusing a request for good when its
// machines neither accept nor refuse connections.
func TestRequestRunsAfterInconclusiveProbes(t *testing.T) {
	watcher, _ := startWatcher(t)
	for _, machine := range []string{"m1", "m2"} {
		watcher.ReportBroken(quarantine.BrokenRequest{Machine: machine, Instance: machine, Identity: quarantine.Identity{1}})
	}
	for strings.Contains(refusalOf(watcher, quarantine.Identity{1}), "unavailable") {
		time.Sleep(time.Millisecond)
	}
	if kind := refusalOf(watcher, quarantine.Identity{1}); kind != "" {
		t.Errorf("the request is refused as %s", kind)
	}
}
