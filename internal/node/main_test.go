package node

import (
	"runtime"
	"testing"

	"golang.org/x/sys/unix"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/settings"
)

// Guards against a node that is killed by the signal to reload its settings, or ends without a stop, because the signal comes while
// the settings are read for the first time.
func TestSignalsWhileSettingsAreRead(t *testing.T) {
	load := func() (*settings.Settings, error) {
		// A signal to the thread that sends it is delivered at once.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		for _, each := range []unix.Signal{unix.SIGHUP, unix.SIGTERM} {
			if err := unix.Tgkill(unix.Getpid(), unix.Gettid(), each); err != nil {
				t.Error(err)
			}
		}
		return nil, fault.Invalid.New("no settings")
	}
	if err := RunUntilStopped(load, Extensions{}); !fault.Is(err, fault.Invalid) {
		t.Errorf("the node ends with %v", err)
	}
}
