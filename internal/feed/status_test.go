package feed

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// watched is a state that a watcher follows.
type watched struct {
	t       *testing.T
	machine *state.Machine
	random  *rand.Rand
}

// write applies a write of a checkpoint's model by chance: a new spec, a status alone, a deletion.
func (w *watched) write() {
	w.t.Helper()
	name := fmt.Sprint("model-", w.random.IntN(4))
	object := &wirepb.Object{Kind: string(v1.KindModel), Name: name}
	write := &wirepb.ObjectWrite{Object: object}
	switch w.random.IntN(6) {
	case 0:
		write.Operation = wirepb.ObjectWrite_OPERATION_DELETE
	case 1:
		object.Spec = []byte(`{"defaultVersion":"","maxReplicas":` + fmt.Sprint(1+w.random.IntN(9)) + `}`)
	default:
		write.Operation = wirepb.ObjectWrite_OPERATION_PUT_STATUS
		object.Status = []byte(fmt.Sprintf(`{"ready":%d}`, w.random.IntN(100)))
	}
	data, err := proto.Marshal(&wirepb.Command{Body: &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: []*wirepb.ObjectWrite{write}}}})
	if err != nil {
		w.t.Fatal(err)
	}
	w.machine.Apply(data) // Some are refused: there is nothing to delete, or no spec.
}

// TestWatchersCompleteChangesOfStatus: a watcher that gets changes of status without the rest
// holds what the state holds, however many changes come at once, and whether objects come and go.
func TestWatchersCompleteChangesOfStatus(t *testing.T) {
	short := 0
	for seed := range uint64(50) {
		w := &watched{t: t, machine: state.New(), random: rand.New(rand.NewPCG(seed, 2))}
		cache := NewCache()
		for range 60 {
			for range w.random.IntN(8) {
				w.write()
			}
			changes := ChangesOf(w.machine, cache.Revision())
			changes.Events = withoutHeld(changes.Events)
			for _, event := range changes.Events {
				if event.GetStatusOnly() && len(event.GetObject().GetSpec()) == 0 {
					short++
				}
			}
			events, err := withHeld(changes.Events, cache.Held)
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			changes.Events = events
			cache.Apply(changes)
			for _, object := range w.machine.List("") {
				if held := cache.Held(state.KeyOf(object)); !proto.Equal(held, object) {
					t.Fatalf("seed %d: the watcher holds %v of %v", seed, held, object)
				}
			}
			if len(w.machine.List("")) != len(cache.objects) {
				t.Fatalf("seed %d: the watcher holds %d objects of %d", seed, len(cache.objects), len(w.machine.List("")))
			}
		}
	}
	if short < 1000 {
		t.Errorf("%d changes only came without the rest", short)
	}
}

// TestChangesOfWhatIsNotHeldAreRefused: a watcher out of step says so, and asks for whole changes.
func TestChangesOfWhatIsNotHeldAreRefused(t *testing.T) {
	event := &wirepb.WatchEvent{StatusOnly: true, Object: &wirepb.Object{Kind: "Replica", Name: "r", Revision: 7}}
	_, err := withHeld([]*wirepb.WatchEvent{event}, func(state.Key) *wirepb.Object { return nil })
	if !fault.Is(err, fault.Protocol) || !strings.Contains(fault.Message(err), "Replica r") {
		t.Errorf("%v", err)
	}
}
