package feed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestBatchedCallsBeginAfterTheirCallers: a result is shared only by those who came
// before its call began, and a crowd that comes during a call needs one more.
func TestBatchedCallsBeginAfterTheirCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callTime = 10 * time.Millisecond
		started := time.Now()
		calls := 0
		shared := newBatcher(func(context.Context) (time.Duration, error) {
			calls++
			began := time.Since(started)
			time.Sleep(callTime)
			return began, nil
		})
		const callers = 100
		ended := make(chan struct{}, callers)
		for position := range callers {
			go func() {
				// One caller comes first, the others while its call is under way.
				time.Sleep(time.Duration(min(position, 1)) * time.Millisecond)
				came := time.Since(started)
				began, err := shared.do(t.Context())
				if err != nil || began < came {
					t.Errorf("a caller of %s got the result of a call of %s, %v", came, began, err)
				}
				ended <- struct{}{}
			}()
		}
		for range callers {
			<-ended
		}
		if calls != 2 {
			t.Errorf("%d calls for %d callers", calls, callers)
		}
	})
}

// TestBatchedCallOutlivesACaller: a caller that gives up takes the result from nobody.
func TestBatchedCallOutlivesACaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callTime = 10 * time.Millisecond
		shared := newBatcher(func(ctx context.Context) (string, error) {
			select {
			case <-ctx.Done():
				return "", ctx.Err()
			case <-time.After(callTime):
				return "whole", nil
			}
		})
		impatient, cancel := context.WithTimeout(t.Context(), callTime/2)
		defer cancel()
		gaveUp := make(chan error, 1)
		go func() {
			_, err := shared.do(impatient)
			gaveUp <- err
		}()
		if err := <-gaveUp; err == nil {
			t.Error("a caller got a result after it had given up")
		}
		if result, err := shared.do(t.Context()); err != nil || result != "whole" {
			t.Errorf("%q, %v", result, err)
		}
	})
}
