package crashwatch_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/crashwatch"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/quarantine"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestRecentPartOfLateReportIsNotRecorded guards against suspecting a prompt part that has just completed elsewhere, when
// the crash of the machine is known before the request is reported.
func TestRecentPartOfLateReportIsNotRecorded(t *testing.T) {
	recorded := make(chan []string, 2)
	refuses := func(context.Context, string, string) (bool, error) { return true, fault.Unavailable.New("refused") }
	watcher := startWatcherWith(t, refuses, func(command *wirepb.Command) (*wirepb.CommandResult, error) {
		var parts []string
		for _, part := range command.GetRecordCrash().GetParts() {
			parts = append(parts, part.GetPart())
		}
		recorded <- parts
		return &wirepb.CommandResult{Code: wirepb.ResultCode_RESULT_CODE_INVALID}, nil
	})
	watcher.ReportCompleted(crashwatch.Request{PromptParts: []string{"head"}})
	for number, harmful := range []string{"first", "second"} {
		watcher.ReportBroken(quarantine.BrokenRequest{
			Machine: "m", Instance: "m", Identity: quarantine.Identity{byte(number)}, PromptParts: []string{"head", harmful},
		})
		select {
		case parts := <-recorded:
			if !slices.Equal(parts, []string{harmful}) {
				t.Errorf("recorded with parts %v", parts)
			}
		case <-time.After(30 * time.Second):
			t.Fatal("the crash is not recorded")
		}
	}
}
