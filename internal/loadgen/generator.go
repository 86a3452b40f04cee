package loadgen

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/weldline/weldline/internal/emulator"
	"github.com/weldline/weldline/internal/fault"
)

const maxConnsPerRouter = 2048

// generator executes one plan.
type generator struct {
	plan     Plan
	client   *http.Client
	recorder *recorder
	models   []string
	requests sync.WaitGroup
}

// Run executes a plan. It leaves Summary.Result empty; see Summary.SetResult.
func Run(ctx context.Context, plan Plan, progress func(text string)) (*Summary, *Recorder, error) {
	if err := plan.Validate(); err != nil {
		return nil, nil, err
	}
	created := &generator{
		plan: plan, recorder: newRecorder(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConnsPerRouter}},
	}
	var err error
	if created.models, err = created.listModels(ctx); err != nil {
		return nil, nil, err
	}
	started := time.Now()
	progress("burst of " + strconv.Itoa(plan.Burst) + " requests over " + strconv.Itoa(len(created.models)) + " models")
	created.sendBurst(ctx, started)
	created.sendSteady(ctx, started, progress)
	created.requests.Wait()
	return created.recorder.summarize(time.Since(started)), &Recorder{created.recorder}, nil
}

// Recorder adds the results of the emulator's audit to the summary.
type Recorder struct {
	recorder *recorder
}

// AddAuditViolations adds the violations found by the emulator's audit.
func (r *Recorder) AddAuditViolations(audit emulator.Audit) {
	r.recorder.checkHolds(audit.Executions)
	r.recorder.mutex.Lock()
	defer r.recorder.mutex.Unlock()
	r.recorder.summary.Violations["memory_overcommits"] = audit.MemoryOvercommits
	r.recorder.summary.Violations["late_work_to_leaving"] = audit.WorkAfterLeaving
}

func (g *generator) listModels(ctx context.Context) ([]string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, g.plan.Routers[0]+"/v1/models", nil)
	if err != nil {
		return nil, fault.InvalidField("routers", "%s", err.Error())
	}
	response, err := g.client.Do(request)
	if err != nil {
		return nil, fault.Unavailable.Wrap(err, "listing models")
	}
	defer func() { _ = response.Body.Close() }()
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return nil, fault.Protocol.Wrap(err, "decoding the list of models")
	}
	var names []string
	for _, entry := range list.Data {
		names = append(names, entry.ID)
	}
	if len(names) == 0 {
		return nil, fault.NotFound.New("no models are declared")
	}
	return names, nil
}

func (g *generator) randomStream(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(g.plan.Seed, stream))
}

func (g *generator) start(ctx context.Context, call inferenceCall) {
	g.requests.Go(func() { g.send(ctx, call) })
}

func (g *generator) newCall(random *rand.Rand, due time.Time, model string, number int) inferenceCall {
	return inferenceCall{
		dueAt: due, model: model, tokens: g.plan.Tokens, router: number,
		prompt: "request " + strconv.Itoa(number) + " " + strconv.FormatUint(random.Uint64(), 36) + strings.Repeat(" archive", random.IntN(64)),
		stream: random.Float64() < g.plan.StreamShare,
	}
}

// sendBurst sends requests for many models at once, through all routers.
func (g *generator) sendBurst(ctx context.Context, due time.Time) {
	random := g.randomStream(1)
	for number := range g.plan.Burst {
		g.start(ctx, g.newCall(random, due, g.models[number%len(g.models)], number))
	}
}

// sendSteady sends requests as Poisson processes for the duration of the plan.
func (g *generator) sendSteady(ctx context.Context, started time.Time, progress func(string)) {
	var processes sync.WaitGroup
	defer processes.Wait()
	if g.plan.Service != "" && g.plan.HoldRate > 0 {
		processes.Go(func() { g.sendHolds(ctx, started) })
	}
	if g.plan.Rate > 0 {
		processes.Go(func() { g.sendInferences(ctx, started) })
	}
	ticker := time.NewTicker(5 * time.Second)
	defer ticker.Stop()
	end := time.After(time.Until(started.Add(g.plan.Duration)))
	for {
		select {
		case <-ctx.Done():
			return
		case <-end:
			return
		case <-ticker.C:
			progress(g.recorder.progress())
		}
	}
}

func (r *recorder) progress() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return strconv.Itoa(r.summary.Total) + " requests ended, " + strconv.Itoa(r.summary.Requests[OutcomeAnswered]) + " answered"
}

// poissonArrivals calls visit at each arrival of a Poisson process.
func (g *generator) poissonArrivals(ctx context.Context, started time.Time, rate float64, random *rand.Rand, visit func(due time.Time, number int)) {
	due := started
	for number := 0; ; number++ {
		due = due.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if due.Sub(started) > g.plan.Duration {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
			visit(due, number)
		}
	}
}

func (g *generator) sendInferences(ctx context.Context, started time.Time) {
	random := g.randomStream(2)
	zipf := rand.NewZipf(random, g.plan.Skew, 1, uint64(len(g.models)-1))
	order := random.Perm(len(g.models))
	g.poissonArrivals(ctx, started, g.plan.Rate, random, func(due time.Time, number int) {
		g.start(ctx, g.newCall(random, due, g.models[order[zipf.Uint64()]], number))
	})
}

func (g *generator) sendHolds(ctx context.Context, started time.Time) {
	random := g.randomStream(3)
	run := strconv.FormatInt(started.UnixNano(), 36)
	g.poissonArrivals(ctx, started, g.plan.HoldRate, random, func(due time.Time, number int) {
		key := "hold-" + run + "-" + strconv.Itoa(number)
		g.requests.Go(func() { g.hold(ctx, due, number, key) })
	})
}
