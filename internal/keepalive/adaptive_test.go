package keepalive

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestAdaptive records uses and prints indices. The profile has a cold start of 10 s with weight
// 60, so that a replica alone on its accelerator is kept while its index is at least 1.
func TestAdaptive(t *testing.T) {
	profile := VersionProfile{Version: "model", Accelerators: 1, LoadTime: 10 * time.Second, ColdStartWeight: 60}
	begin := time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)
	var policy *Adaptive
	datadriven.RunTest(t, "testdata/adaptive", func(t *testing.T, d *datadriven.TestData) string {
		duration := func(name string) time.Duration {
			var text string
			d.ScanArgs(t, name, &text)
			value, err := time.ParseDuration(text)
			if err != nil {
				t.Fatal(err)
			}
			return value
		}
		switch d.Cmd {
		case "new":
			policy = NewAdaptive()
		case "uses":
			var days, count int
			d.ScanArgs(t, "days", &days)
			d.ScanArgs(t, "count", &count)
			for day := range days {
				for number := range count {
					offset := time.Duration(day)*24*time.Hour + duration("from") + time.Duration(number)*duration("every")
					policy.RecordUse(profile.Version, begin.Add(offset))
				}
			}
		case "index":
			var out strings.Builder
			for _, text := range strings.Fields(d.Input) {
				idle, err := time.ParseDuration(text)
				if err != nil {
					t.Fatal(err)
				}
				fmt.Fprintf(&out, "idle %s: %.2f\n", text, policy.Index(profile, idle, begin.Add(duration("at"))))
			}
			return out.String()
		case "prewarm":
			return fmt.Sprintf("%.2f\n", policy.PrewarmIndex(profile, begin.Add(duration("at"))))
		}
		return ""
	})
}
