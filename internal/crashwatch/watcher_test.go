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

// slowProbe says what becomes of machines once it is told.
type slowProbe struct {
	refuses chan bool
}

func (p *slowProbe) probe(ctx context.Context, _, _ string) (refused bool, err error) {
	select {
	case refuses := <-p.refuses:
		if !refuses {
			return false, nil
		}
		return true, fault.Unavailable.New("refused")
	case <-ctx.Done():
		return false, fault.Unavailable.New("no answer")
	}
}

func startWatcher(t *testing.T) (*crashwatch.Watcher, *slowProbe) {
	t.Helper()
	probe := &slowProbe{refuses: make(chan bool)}
	watcher := crashwatch.New(crashwatch.Options{
		View: nodeview.New(), Logger: slog.New(slog.DiscardHandler), Probe: probe.probe,
		Propose: func(context.Context, *wirepb.Command) (*wirepb.CommandResult, error) {
			return nil, fault.Unavailable.New("there is no leader")
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
	return watcher, probe
}

func refusalOf(watcher *crashwatch.Watcher, identity quarantine.Identity) string {
	document := watcher.Refusal(func() quarantine.Identity { return identity })
	if document == nil {
		return ""
	}
	return document.Kind()
}

// TestRequestIsHeldBackWhileItsMachinesAreLookedAt: seen was a request that ended three machines instead of
// the two that convict it, once, beside heavy load: its caller came back before the router had found out
// what had become of the second. With every look taking 150 ms longer it ended all six machines that there
// were. So nothing is sent of a request that as many machines may have ended under as convict it; if they
// turn out to be alive it runs again.
func TestRequestIsHeldBackWhileItsMachinesAreLookedAt(t *testing.T) {
	culprit, innocent := quarantine.Identity{1}, quarantine.Identity{2}
	for _, isEnd := range []bool{true, false} {
		watcher, probe := startWatcher(t)
		run := func(machine string, identity quarantine.Identity) {
			watcher.ReportBroken(quarantine.BrokenRequest{Machine: machine, Instance: machine, Identity: identity})
		}
		run("m1", culprit)
		if kind := refusalOf(watcher, culprit); kind != "" {
			t.Fatalf("after one machine the request is refused as %s", kind)
		}
		run("m2", culprit)
		run("m3", innocent)
		if kind := refusalOf(watcher, culprit); kind != "unavailable" {
			t.Errorf("while two machines are looked at the request is refused as %q", kind)
		}
		if kind := refusalOf(watcher, innocent); kind != "" {
			t.Errorf("another request is refused as %s", kind)
		}
		for range 3 {
			probe.refuses <- isEnd
		}
		wanted := map[bool]string{true: "quarantined", false: ""}[isEnd]
		for end := time.Now().Add(10 * time.Second); refusalOf(watcher, culprit) != wanted && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if kind := refusalOf(watcher, culprit); kind != wanted {
			t.Errorf("ended %v: the request is refused as %q", isEnd, kind)
		}
	}
}

// TestEndOfALookLetsTheRequestRun: nobody can tell what has become of its machines.
func TestEndOfALookLetsTheRequestRun(t *testing.T) {
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
