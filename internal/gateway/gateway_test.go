package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/api/engine"
	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/emulator"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/gateway"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const gibibyte = 1 << 30

// deployment is a gateway in front of emulated engines, with a state machine as
// its control plane.
type deployment struct {
	t       testing.TB
	world   *emulator.Environment
	view    *nodeview.View
	gateway *gateway.Gateway
	server  *httptest.Server

	mutex    sync.Mutex
	state    *state.Machine
	sequence uint64
}

// deploy starts one machine with replica r of model m, and a back end with two
// workers whose path /holds is unrepeatable.
func deploy(t testing.TB, configuration string) *deployment {
	t.Helper()
	return deployWith(t, configuration, func(*gateway.Options) {})
}

// deployWith is like deploy, with options that the test changes.
func deployWith(t testing.TB, configuration string, change func(options *gateway.Options)) *deployment {
	t.Helper()
	config, err := emulator.ParseConfig([]byte("machines: {count: 1}\nengine: {tokenInterval: 1ms}\nbackends: [{name: ledger, workers: 2}]\n" + configuration))
	if err != nil {
		t.Fatal(err)
	}
	d := &deployment{t: t, view: nodeview.New(), state: state.New()}
	if d.world, err = emulator.Start(config); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.world.Close)
	options := gateway.Options{
		Node: "node", View: d.view, Logger: slog.New(slog.DiscardHandler), Metrics: gateway.NewMetrics(prometheus.NewRegistry()),
		Propose: d.propose, MaxWaiting: 100, MaxBodyBytes: 1 << 20, RequestReport: func() {},
	}
	change(&options)
	d.gateway = gateway.New(options)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go d.gateway.Run(ctx)
	d.declare()
	d.server = httptest.NewServer(d.gateway)
	t.Cleanup(d.server.Close)
	return d
}

// addEngine declares a machine whose engine serves the model cold, which no other one does.
func (d *deployment) addEngine(endpoint string) {
	d.write(
		put(v1.KindMachine, "worker-002", v1.MachineSpec{Endpoint: endpoint, Zone: "z", Accelerators: 1, AcceleratorBytes: 80 * gibibyte}),
		&wirepb.ObjectWrite{Operation: wirepb.ObjectWrite_OPERATION_PUT_STATUS, Object: &wirepb.Object{
			Kind: string(v1.KindMachine), Name: "worker-002", Status: []byte(`{"phase":"Live","incarnation":7}`),
		}},
		put(v1.KindReplica, "cold-1", v1.ReplicaSpec{
			Model: "cold", Version: "cold.v1", Machine: "worker-002", Incarnation: 7, Accelerators: []int{0}, BytesPerAccelerator: gibibyte, MaxConcurrent: 4, Phase: v1.ReplicaReady,
		}),
	)
}

// propose applies a command and sends the changes to the view.
func (d *deployment) propose(_ context.Context, command *wirepb.Command) (*wirepb.CommandResult, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	command.ProposedUnixMs = time.Now().UnixMilli()
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, err
	}
	result := d.state.Apply(data)
	d.view.Apply(feed.ChangesSince(d.state, d.view.Revision()))
	return result, nil
}

func (d *deployment) write(writes ...*wirepb.ObjectWrite) {
	d.t.Helper()
	result, err := d.propose(context.Background(), &wirepb.Command{Body: &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: writes}}})
	if err != nil || result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK {
		d.t.Fatal(result, err)
	}
}

func put(kind v1.Kind, name string, spec any) *wirepb.ObjectWrite {
	encoded, _ := json.Marshal(spec)
	return &wirepb.ObjectWrite{Object: &wirepb.Object{Kind: string(kind), Name: name, Spec: encoded}}
}

func (d *deployment) declare() {
	addresses := d.world.Addresses()
	d.write(
		put(v1.KindModel, "m", v1.ModelSpec{DefaultVersion: "m.v1"}),
		put(v1.KindModelVersion, "m.v1", v1.ModelVersionSpec{Model: "m", Checkpoint: "c", WeightBytes: 1 << 20, CacheBytes: gibibyte, AdapterBytes: gibibyte}),
		put(v1.KindModel, "cold", v1.ModelSpec{DefaultVersion: "cold.v1"}),
		put(v1.KindModelVersion, "cold.v1", v1.ModelVersionSpec{Model: "cold", Checkpoint: "c2", WeightBytes: 1 << 20, CacheBytes: gibibyte}),
		put(v1.KindAdapter, "a", v1.AdapterSpec{Model: "m", Checkpoint: "ac", WeightBytes: 1 << 20}),
		put(v1.KindService, "chat", v1.ServiceSpec{Models: []string{"m", "cold"}}),
		put(v1.KindService, "seats", v1.ServiceSpec{Backend: &v1.BackendSpec{Endpoints: addresses.Backends["ledger"], Unrepeatable: []string{"/holds"}}}),
		put(v1.KindMachine, "worker-001", v1.MachineSpec{Endpoint: addresses.Engines["worker-001"], Zone: "z", Accelerators: 2, AcceleratorBytes: 80 * gibibyte}),
		&wirepb.ObjectWrite{Operation: wirepb.ObjectWrite_OPERATION_PUT_STATUS, Object: &wirepb.Object{
			Kind: string(v1.KindMachine), Name: "worker-001", Status: []byte(`{"phase":"Live","incarnation":1}`),
		}},
	)
	d.load("r")
	d.write(put(v1.KindReplica, "r", v1.ReplicaSpec{
		Model: "m", Version: "m.v1", Machine: "worker-001", Incarnation: 1, Accelerators: []int{0},
		BytesPerAccelerator: 3 * gibibyte, MaxConcurrent: 4, Phase: v1.ReplicaReady,
	}))
	for range 2 { // The second digest proves that the view is current.
		d.sequence++
		d.view.ApplyDigest(&wirepb.ClusterDigest{Term: 1, Sequence: d.sequence, Routers: 1, Revision: 1})
	}
}

// load loads a replica and waits until it is ready.
func (d *deployment) load(replica string) {
	d.t.Helper()
	endpoint := d.world.Addresses().Engines["worker-001"]
	report := d.report(endpoint)
	order, _ := json.Marshal(engine.Order{
		Kind: engine.OrderLoad, Replica: replica, Fence: 1, Incarnation: report.Incarnation, Version: "m.v1", Checkpoint: "c",
		WeightBytes: 1 << 20, Accelerators: []int{0}, BytesPerAccelerator: 3 * gibibyte, CacheBytes: gibibyte, MaxConcurrent: 4,
	})
	response, err := http.Post(endpoint+"/v1/orders", "application/json", bytes.NewReader(order))
	if err != nil {
		d.t.Fatal(err)
	}
	_ = response.Body.Close()
	for {
		for _, held := range d.report(endpoint).Replicas {
			if held.Replica == replica && held.Phase == engine.PhaseReady {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
}

func (d *deployment) report(endpoint string) engine.Report {
	d.t.Helper()
	response, err := http.Get(endpoint + "/v1/report")
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var report engine.Report
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		d.t.Fatal(err)
	}
	return report
}

// reply is the response that a client got.
type reply struct {
	status  int
	header  http.Header
	body    string
	problem struct{ Type, Field, Outcome string }
}

func (d *deployment) send(method, path, body string, headers ...string) reply {
	d.t.Helper()
	request, err := http.NewRequest(method, d.server.URL+path, strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	for position := 0; position+1 < len(headers); position += 2 {
		request.Header.Set(headers[position], headers[position+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		d.t.Fatal(err)
	}
	result := reply{status: response.StatusCode, header: response.Header, body: string(content)}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json") {
		if err := json.Unmarshal(content, &result.problem); err != nil {
			d.t.Fatal(err)
		}
	}
	return result
}

// TestOpenAIClient uses the published OpenAI client for plain and streaming
// requests to a model and to an adapter.
func TestOpenAIClient(t *testing.T) {
	d := deploy(t, "")
	client := openai.NewClient(option.WithBaseURL(d.server.URL+"/v1"), option.WithAPIKey("none"), option.WithMaxRetries(0))
	ctx := context.Background()
	models, err := client.Models.List(ctx)
	if err != nil || len(models.Data) != 3 {
		t.Fatal(models, err)
	}
	for _, model := range []string{"m", "a"} {
		parameters := openai.ChatCompletionNewParams{
			Model: model, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")}, MaxTokens: openai.Int(8),
		}
		plain, err := client.Chat.Completions.New(ctx, parameters)
		if err != nil || len(plain.Choices) != 1 || plain.Choices[0].Message.Content == "" {
			t.Fatal(plain, err)
		}
		stream := client.Chat.Completions.NewStreaming(ctx, parameters)
		var text strings.Builder
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				text.WriteString(choice.Delta.Content)
			}
		}
		if stream.Err() != nil || text.String() != plain.Choices[0].Message.Content {
			t.Errorf("%s: streamed %q, plain %q, %v", model, text.String(), plain.Choices[0].Message.Content, stream.Err())
		}
	}
}

// TestProblemTypes checks that bad requests are refused as not run, with the
// field at fault.
func TestProblemTypes(t *testing.T) {
	d := deploy(t, "")
	cases := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		kind, field              string
	}{
		{"no JSON", "POST", "/v1/completions", "{", nil, 400, "invalid", "body"},
		{"no model", "POST", "/v1/completions", "{}", nil, 400, "invalid", "model"},
		{"unknown model", "POST", "/v1/completions", `{"model":"x"}`, nil, 404, "not-found", "model"},
		{"unknown service", "POST", "/v1/completions", `{"model":"m"}`, []string{gateway.HeaderService, "x"}, 404, "not-found", gateway.HeaderService},
		{"bad deadline", "POST", "/v1/completions", `{"model":"m"}`, []string{gateway.HeaderDeadline, "soon"}, 400, "invalid", gateway.HeaderDeadline},
		{"wrong method", "GET", "/v1/completions", "", nil, 405, "invalid", ""},
		{"no such path", "GET", "/v2", "", nil, 404, "not-found", ""},
		{"unknown back end", "GET", "/v1/services/x/y", "", nil, 404, "not-found", "service"},
		{"model service as back end", "GET", "/v1/services/chat/y", "", nil, 404, "not-found", "service"},
		{"unrepeatable without a key", "POST", "/v1/services/seats/holds/1", "{}", nil, 400, "idempotency-key-missing", "Idempotency-Key"},
		{"key too long", "POST", "/v1/services/seats/holds/1", "{}", []string{"Idempotency-Key", strings.Repeat("k", 300)}, 400, "invalid", "Idempotency-Key"},
		{"body too large", "POST", "/v1/completions", strings.Repeat("x", 2<<20), nil, 413, "too-large", ""},
		{"nobody can serve it in time", "POST", "/v1/completions", `{"model":"cold"}`, []string{gateway.HeaderDeadline, "50ms"}, 504, "deadline", ""},
	}
	for _, entry := range cases {
		t.Run(entry.name, func(t *testing.T) {
			got := d.send(entry.method, entry.path, entry.body, entry.headers...)
			kind := got.problem.Type[strings.LastIndex(got.problem.Type, "/")+1:]
			if got.status != entry.status || kind != entry.kind || got.problem.Field != entry.field || got.problem.Outcome != "not-run" {
				t.Errorf("%d %+v", got.status, got.problem)
			}
		})
	}
	if runs := d.world.Audit().Runs; runs != 0 {
		t.Errorf("%d requests ran", runs)
	}
}

// TestUnrepeatableRequestRunsOnce resends an unrepeatable request concurrently after its response.
func TestUnrepeatableRequestRunsOnce(t *testing.T) {
	d := deploy(t, "")
	hold := func(body string) reply {
		return d.send("POST", "/v1/services/seats/holds/17", body, "Idempotency-Key", "key", gateway.HeaderCaller, "window")
	}
	first := hold("{}")
	if first.status != http.StatusOK && first.status != http.StatusCreated {
		t.Fatalf("%d %s", first.status, first.body)
	}
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			if again := hold("{}"); again.body != first.body || again.header.Get("Idempotent-Replayed") != "true" {
				t.Errorf("%d %s", again.status, again.body)
			}
		})
	}
	group.Wait()
	if other := hold(`{"seat":2}`); other.status != http.StatusUnprocessableEntity || other.problem.Outcome != "not-run" {
		t.Errorf("another request under the key: %d %+v", other.status, other.problem)
	}
	if audit := d.world.Audit(); audit.DuplicateRuns != 0 {
		t.Errorf("%+v", audit)
	}
	// The same key of another caller is another request.
	if stranger := d.send("POST", "/v1/services/seats/holds/17", "{}", "Idempotency-Key", "key", gateway.HeaderCaller, "other"); stranger.header.Get("Idempotent-Replayed") == "true" {
		t.Error("another caller got the recorded response")
	}
}

// TestLostResponseHasUnknownOutcome checks that an unrepeatable request whose response is lost
// has the outcome "unknown" and is not run again by a resend.
func TestLostResponseHasUnknownOutcome(t *testing.T) {
	d := deploy(t, "faults: {lostAnswer: 1}")
	for range 2 {
		got := d.send("POST", "/v1/services/seats/holds/17", "{}", "Idempotency-Key", "key", gateway.HeaderDeadline, "2s")
		if got.status != http.StatusGatewayTimeout || got.problem.Outcome != "unknown" {
			t.Fatalf("%d %+v", got.status, got.problem)
		}
	}
	if audit := d.world.Audit(); audit.DuplicateRuns != 0 || len(audit.Executions) != 1 {
		t.Errorf("%+v", audit)
	}
}

// TestBrokenStreamsResumed checks that broken streams arrive complete or end with
// a typed error.
func TestBrokenStreamsResumed(t *testing.T) {
	whole := deploy(t, "")
	broken := deploy(t, "faults: {brokenStream: 1}")
	body := `{"model":"m","prompt":"hello","max_tokens":20,"stream":true}`
	wanted := texts(t, whole.send("POST", "/v1/completions", body).body)
	for range 5 {
		got := broken.send("POST", "/v1/completions", body).body
		if strings.Contains(got, "stream-broken") {
			continue
		}
		if texts(t, got) != wanted || !strings.Contains(got, "[DONE]") {
			t.Errorf("%q instead of %q", texts(t, got), wanted)
		}
	}
}

// texts returns the concatenated text of a stream's events.
func texts(t *testing.T, stream string) string {
	t.Helper()
	var joined strings.Builder
	for _, line := range strings.Split(stream, "\n") {
		data, isData := strings.CutPrefix(line, "data: ")
		if !isData || data == "[DONE]" {
			continue
		}
		var event struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			t.Fatalf("%q: %v", data, err)
		}
		for _, choice := range event.Choices {
			joined.WriteString(choice.Text)
		}
	}
	return joined.String()
}

// TestDrainCompletesRequestsInFlight checks that streams in flight complete during a
// drain and that new requests are refused.
func TestDrainCompletesRequestsInFlight(t *testing.T) {
	d := deploy(t, "")
	const streams = 3
	answers := make(chan reply, streams)
	for range streams {
		go func() {
			answers <- d.send("POST", "/v1/completions", `{"model":"m","prompt":"hello","max_tokens":200,"stream":true}`)
		}()
	}
	endpoint := d.world.Addresses().Engines["worker-001"]
	for running := 0; running < streams; {
		running = 0
		for _, held := range d.report(endpoint).Replicas {
			running += held.Running
		}
	}
	drained := make(chan bool)
	go func() { drained <- d.gateway.Drain(context.Background()) }()
	for !d.gateway.Draining() {
		time.Sleep(time.Millisecond)
	}
	if late := d.send("POST", "/v1/completions", `{"model":"m","prompt":"x"}`); late.status != http.StatusServiceUnavailable || late.problem.Outcome != "not-run" {
		t.Errorf("%d %+v", late.status, late.problem)
	}
	for range streams {
		if got := <-answers; !strings.Contains(got.body, "[DONE]") || strings.Contains(got.body, "stream-broken") {
			t.Errorf("truncated: ...%s", got.body[max(0, len(got.body)-200):])
		}
	}
	if !<-drained {
		t.Error("the drain did not complete")
	}
}
