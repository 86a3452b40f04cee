package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/datadir"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/operator"
	"github.com/weldline/weldline/internal/resourceapi"
)

const (
	// InForceWithin is what a change may take to be in force everywhere.
	InForceWithin = 3 * time.Second
	applyBatch    = 500
	statusPoll    = 50 * time.Millisecond
	readyTimeout  = time.Minute
	requestLimit  = 20 * time.Second
	day           = 24 * time.Hour
	faultsPhase   = "faults"
)

// Plan says how long each phase lasts and how much faster than at the
// declared size changes and loads come, so that a short phase sees enough.
type Plan struct {
	PhaseLength time.Duration
	SpeedUp     float64
	Seed        uint64
	// Faults adds a phase in which engines restart as often as in a day, and
	// during which processes are killed from outside.
	Faults bool
	// PhaseFile, if set, gets the name of each phase as it begins.
	PhaseFile string
}

// Phase is what one phase cost.
type Phase struct {
	Name    string     `json:"name"`
	Seconds float64    `json:"seconds"`
	Roles   []RoleCost `json:"roles"`
	// Changes and Loads are how many there were.
	Changes int `json:"changes,omitempty"`
	Loads   int `json:"loads,omitempty"`
	// Refused and Failed count the requests of a phase with faults.
	Refused int `json:"refused,omitempty"`
	Failed  int `json:"failed,omitempty"`
	// InForce is the time from the acceptance of a change to the last node.
	InForce Spread `json:"in_force_seconds,omitzero"`
	// Cold is the time of a request that had to wait for a load, with loads
	// that take next to no time: what deciding, ordering and routing cost.
	Cold Spread `json:"cold_seconds,omitzero"`
}

// Result is the outcome of a run.
type Result struct {
	Result       string  `json:"result"`
	Size         Size    `json:"size"`
	ReadySeconds float64 `json:"ready_seconds"`
	Phases       []Phase `json:"phases"`
	// LateChanges were not in force everywhere in time; LostChanges never.
	LateChanges int `json:"late_changes"`
	LostChanges int `json:"lost_changes"`
	// RecoverySeconds is how long after the faults everything was there again.
	RecoverySeconds float64 `json:"recovery_seconds,omitempty"`
	// FailedRequests got neither an answer nor a refusal.
	FailedRequests  int `json:"failed_requests"`
	RefusedRequests int `json:"refused_requests"`
}

// runner is a run in progress.
type runner struct {
	fleet    *Fleet
	plan     Plan
	client   *operator.Client
	random   *rand.Rand
	progress func(string)
	result   *Result
	changes  int
}

// Run measures a fleet that has been started.
func Run(ctx context.Context, fleet *Fleet, plan Plan, progress func(string)) (*Result, error) {
	client, err := operator.NewClient(fleet.API, "", "")
	if err != nil {
		return nil, err
	}
	r := &runner{
		fleet: fleet, plan: plan, client: client, random: rand.New(rand.NewPCG(plan.Seed, 0)),
		progress: progress, result: &Result{Size: fleet.Size},
	}
	if err := r.prepare(ctx); err != nil {
		return nil, err
	}
	phases := []namedPhase{{"idle", idle}, {"changes", r.makeChanges}, {"loads", r.makeLoads}}
	if plan.Faults {
		phases = append(phases, namedPhase{faultsPhase, r.sufferFaults})
	}
	for _, phase := range phases {
		if err := r.measure(ctx, phase.name, phase.work); err != nil {
			return nil, err
		}
	}
	r.result.Result = "ok"
	if r.result.LateChanges+r.result.LostChanges+r.result.FailedRequests > 0 {
		r.result.Result = "failed"
	}
	return r.result, nil
}

type namedPhase struct {
	name string
	work func(ctx context.Context, phase *Phase) error
}

// prepare declares everything and waits until every node has it.
func (r *runner) prepare(ctx context.Context) error {
	started := time.Now()
	r.progress(fmt.Sprintf("declaring %d models and %d adapters", r.fleet.Size.Models, r.fleet.Size.Adapters))
	items := declarations(r.fleet.Size)
	for len(items) > 0 {
		count := min(applyBatch, len(items))
		if _, err := r.client.Apply(ctx, &resourceapi.ApplyRequest{Items: items[:count]}, ""); err != nil {
			return err
		}
		items = items[count:]
	}
	r.progress("waiting for all nodes and machines")
	if err := r.waitForAll(ctx); err != nil {
		return err
	}
	r.result.ReadySeconds = time.Since(started).Seconds()
	return nil
}

// waitForAll waits until every node and machine is there and up to date.
func (r *runner) waitForAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		status, err := r.client.Status(ctx)
		if err == nil && r.allPresent(ctx, status) {
			return nil
		}
		if ctx.Err() != nil {
			return fault.Deadline.New("the fleet was not ready in %s", readyTimeout)
		}
		time.Sleep(statusPoll)
	}
}

func (r *runner) allPresent(ctx context.Context, status *resourceapi.Status) bool {
	live := 0
	for _, node := range status.Nodes {
		if node.Live && atLeast(node.ResourceVersion, status.ResourceVersion) {
			live++
		}
	}
	if live < r.fleet.Size.Nodes {
		return false
	}
	machines, err := r.client.List(ctx, string(v1.KindMachine))
	if err != nil {
		return false
	}
	ready := 0
	for _, machine := range machines.Items {
		var held v1.MachineStatus
		if json.Unmarshal(machine.Status, &held) == nil && held.Phase == v1.MachineLive {
			ready++
		}
	}
	return ready >= r.fleet.Size.Workers
}

func atLeast(version, wanted string) bool {
	held, _ := strconv.ParseUint(version, 10, 64)
	need, _ := strconv.ParseUint(wanted, 10, 64)
	return held >= need
}

// measure runs a phase between two samplings.
func (r *runner) measure(ctx context.Context, name string, work func(context.Context, *Phase) error) error {
	r.progress("measuring " + name)
	if r.plan.PhaseFile != "" {
		if err := datadir.WriteFileSynced(r.plan.PhaseFile, []byte(name)); err != nil {
			return err
		}
	}
	before, err := scrape(ctx, r.fleet)
	if err != nil {
		return err
	}
	started := time.Now()
	phase := Phase{Name: name}
	bounded, cancel := context.WithTimeout(ctx, r.plan.PhaseLength)
	defer cancel()
	if err := work(bounded, &phase); err != nil {
		return err
	}
	<-bounded.Done()
	after, err := scrape(ctx, r.fleet)
	if err != nil {
		return err
	}
	span := time.Since(started)
	status, err := r.client.Status(ctx)
	if err != nil {
		return err
	}
	phase.Seconds = span.Seconds()
	if name != faultsPhase { // Processes that were killed count from 0 again.
		phase.Roles = costs(r.fleet, status.Leader, before, after, span)
	}
	r.result.Phases = append(r.result.Phases, phase)
	return nil
}

func idle(context.Context, *Phase) error {
	return nil
}

// makeChanges changes one model after the other at the declared rate, sped
// up, and times each until it is in force on the last node.
func (r *runner) makeChanges(ctx context.Context, phase *Phase) error {
	interval := time.Duration(float64(day) / float64(max(1, r.fleet.Size.ChangesPerDay)) / r.plan.SpeedUp)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var spans []time.Duration
	for {
		select {
		case <-ctx.Done():
			phase.Changes = len(spans)
			phase.InForce = spreadOf(spans)
			return nil
		case <-ticker.C:
		}
		took, inForce := r.change()
		if !inForce {
			r.result.LostChanges++
		} else if took > InForceWithin {
			r.result.LateChanges++
		}
		spans = append(spans, took)
	}
}

// change makes one change and waits until every live node reports it.
func (r *runner) change() (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*InForceWithin)
	defer cancel()
	r.changes++
	model := modelName(r.random.IntN(r.fleet.Size.Models))
	// A value of its own each time: a write that changes nothing is in force
	// from the start.
	spec := v1.ModelSpec{DefaultVersion: model + ".v1", MaxReplicas: 2 + r.changes}
	written, err := r.client.Put(ctx, resource(v1.KindModel, model, spec), "")
	if err != nil {
		return 0, false
	}
	accepted := time.Now()
	for ctx.Err() == nil {
		status, err := r.client.Status(ctx)
		if err == nil && inForceOn(status, written.Metadata.ResourceVersion) {
			return time.Since(accepted), true
		}
		time.Sleep(statusPoll)
	}
	return time.Since(accepted), false
}

func inForceOn(status *resourceapi.Status, version string) bool {
	for _, node := range status.Nodes {
		if node.Live && !atLeast(node.ResourceVersion, version) {
			return false
		}
	}
	return true
}

// makeLoads asks for models that nobody has asked for lately, at the rate of
// loads, sped up, through all routers.
func (r *runner) makeLoads(ctx context.Context, phase *Phase) error {
	interval := time.Duration(float64(time.Hour) / float64(max(1, r.fleet.Size.LoadsPerHour)) / r.plan.SpeedUp)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var mutex sync.Mutex
	var group sync.WaitGroup
	var spans []time.Duration
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			group.Wait()
			phase.Loads = len(spans)
			phase.Cold = spreadOf(spans)
			return nil
		case <-ticker.C:
		}
		router := r.fleet.Routers[number%len(r.fleet.Routers)]
		model := modelName(number % r.fleet.Size.Models)
		group.Go(func() {
			took, code := ask(router, model)
			mutex.Lock()
			defer mutex.Unlock()
			switch {
			case code == http.StatusOK:
				spans = append(spans, took)
			case code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests || code == http.StatusGatewayTimeout:
				r.result.RefusedRequests++
			default:
				r.result.FailedRequests++
			}
		})
	}
}

// ask sends one request and returns how long its answer took, and its code.
func ask(router, model string) (time.Duration, int) {
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
	defer cancel()
	body := fmt.Sprintf(`{"model":%q,"prompt":"hello","max_tokens":1}`, model)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, router+"/v1/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, 0
	}
	request.Header.Set("Content-Type", "application/json")
	started := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return time.Since(started), response.StatusCode
}
