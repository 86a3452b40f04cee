package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
)

// dailyRestarts is how many machines fail, restart or are replaced on an
// ordinary day of the target.
const dailyRestarts = 11 + 180

// sufferFaults restarts as many engines as a day sees, and goes on with
// changes and loads meanwhile. Then everything must come back, with every
// accepted change in force.
func (r *runner) sufferFaults(ctx context.Context, phase *Phase) error {
	var group sync.WaitGroup
	accepted := map[string]int{}
	refused, failed := r.result.RefusedRequests, r.result.FailedRequests
	group.Go(func() { r.restartEngines(ctx) })
	group.Go(func() { r.changeThroughout(ctx, accepted) })
	err := r.makeLoads(ctx, phase)
	group.Wait()
	// A router that is killed takes its callers' connections along; what
	// counts here is what was accepted.
	phase.Refused = r.result.RefusedRequests - refused
	phase.Failed = r.result.FailedRequests - failed
	r.result.FailedRequests = failed
	if err != nil {
		return err
	}
	phase.Changes = len(accepted)
	return r.recover(accepted)
}

func (r *runner) restartEngines(ctx context.Context) {
	machines, err := r.client.List(ctx, string(v1.KindMachine))
	if err != nil || len(machines.Items) == 0 {
		return
	}
	ticker := time.NewTicker(r.plan.PhaseLength / (dailyRestarts + 1))
	defer ticker.Stop()
	for number := range dailyRestarts {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		machine := machines.Items[number*7%len(machines.Items)].Metadata.Name
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.fleet.Platform+"/emulator/restart/"+machine, nil)
		if err != nil {
			return
		}
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}
}

// changeThroughout goes on changing models, each to a value of its own, and
// notes what was accepted.
func (r *runner) changeThroughout(ctx context.Context, accepted map[string]int) {
	for number := 1; ctx.Err() == nil; number++ {
		model := modelName(number % r.fleet.Size.Models)
		replicas := 3 + number
		spec := v1.ModelSpec{DefaultVersion: model + ".v1", MaxReplicas: replicas}
		if _, err := r.client.Put(ctx, resource(v1.KindModel, model, spec), ""); err == nil {
			accepted[model] = replicas
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// recover waits until everything is there again and compares what was
// accepted with what is stored.
func (r *runner) recover(accepted map[string]int) error {
	r.progress(fmt.Sprintf("waiting for recovery, %d changes accepted", len(accepted)))
	started := time.Now()
	ctx := context.Background()
	if err := r.waitForAll(ctx); err != nil {
		return err
	}
	r.result.RecoverySeconds = time.Since(started).Seconds()
	for model, replicas := range accepted {
		stored, err := r.client.Get(ctx, string(v1.KindModel), model)
		if err != nil {
			return err
		}
		var spec v1.ModelSpec
		if err := json.Unmarshal(stored.Spec, &spec); err != nil {
			return fault.Corrupt.Wrap(err, "decoding a model")
		}
		if spec.MaxReplicas < replicas {
			r.result.LostChanges++
		}
	}
	return nil
}
