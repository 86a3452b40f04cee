package feed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestCoalescedCallsStartAfterTheirCallers checks that callers get the result of a call that started
// after their request, and that callers that arrive during a call share the next one.
func TestCoalescedCallsStartAfterTheirCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callTime = 10 * time.Millisecond
		testStart := time.Now()
		calls := 0
		coalescer := newCallCoalescer(func(context.Context) (time.Duration, error) {
			calls++
			startedAt := time.Since(testStart)
			time.Sleep(callTime)
			return startedAt, nil
		})
		const callers = 100
		done := make(chan struct{}, callers)
		for position := range callers {
			go func() {
				// The first caller starts a call; the others arrive while it runs.
				time.Sleep(time.Duration(min(position, 1)) * time.Millisecond)
				calledAt := time.Since(testStart)
				startedAt, err := coalescer.do(t.Context())
				if err != nil || startedAt < calledAt {
					t.Errorf("a caller at %s got the result of a call started at %s, %v", calledAt, startedAt, err)
				}
				done <- struct{}{}
			}()
		}
		for range callers {
			<-done
		}
		if calls != 2 {
			t.Errorf("%d calls for %d callers", calls, callers)
		}
	})
}

// TestCoalescedCallSurvivesCallerCancellation checks that a canceled caller does not cancel the shared
// call.
func TestCoalescedCallSurvivesCallerCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callTime = 10 * time.Millisecond
		coalescer := newCallCoalescer(func(ctx context.Context) (string, error) {
			select {
			case <-ctx.Done():
				return "", ctx.Err()
			case <-time.After(callTime):
				return "result", nil
			}
		})
		callerCtx, cancel := context.WithTimeout(t.Context(), callTime/2)
		defer cancel()
		callerErr := make(chan error, 1)
		go func() {
			_, err := coalescer.do(callerCtx)
			callerErr <- err
		}()
		if err := <-callerErr; err == nil {
			t.Error("a canceled caller got a result")
		}
		if result, err := coalescer.do(t.Context()); err != nil || result != "result" {
			t.Errorf("result %q, error %v", result, err)
		}
	})
}
