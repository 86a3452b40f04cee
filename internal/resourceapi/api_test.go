package resourceapi_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/prometheus/client_golang/prometheus"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/control"
	"github.com/weldline/weldline/internal/operator"
	"github.com/weldline/weldline/internal/resourceapi"
	"github.com/weldline/weldline/internal/settings"
	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// discardStorage discards all writes, for a control node that is never restarted.
type discardStorage struct{}

func (discardStorage) Append(*wirepb.WalRecord) error                         { return nil }
func (discardStorage) SaveSnapshot(*wirepb.Snapshot, *wirepb.WalRecord) error { return nil }

// serve runs a single control node and a server with its API.
func serve(t *testing.T) *httptest.Server {
	t.Helper()
	configuration := &settings.Settings{
		Cluster: "test", Node: "control-1", Zone: "z", Zones: map[string]string{"z": "region"}, Admin: "127.0.0.1:0", DataDir: "unused",
		Roles: []settings.Role{settings.RoleControl},
		Control: settings.ControlSettings{
			ID: 1, API: "127.0.0.1:0", Members: []settings.Member{{ID: 1, Address: "127.0.0.1:1"}},
			ElectionTimeout: 60 * time.Millisecond, HeartbeatInterval: 10 * time.Millisecond, LeaseMargin: 10 * time.Millisecond,
		},
	}
	if err := configuration.Complete(); err != nil {
		t.Fatal(err)
	}
	logger := slog.New(slog.DiscardHandler)
	node, err := control.New(control.Options{
		Settings: configuration, Logger: logger, Storage: discardStorage{}, ID: 1,
		Metrics: control.NewMetrics(prometheus.NewRegistry()), Self: wire.Config{Hello: &wirepb.Hello{Cluster: "test", Node: "control-1", ControlId: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- node.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
	server := httptest.NewServer(resourceapi.New(node, logger, "read", "write"))
	t.Cleanup(server.Close)
	return server
}

// TestAPI sends the requests in testdata/api. The command is the method, its
// arguments are the path and headers, and the input is the body.
func TestAPI(t *testing.T) {
	server := serve(t)
	client, err := operator.NewClient([]string{server.URL}, "write", "")
	if err != nil {
		t.Fatal(err)
	}
	// The client retries until a leader is elected.
	if _, err := client.List(context.Background(), string(v1.KindModel)); err != nil {
		t.Fatal(err)
	}
	handler := server.Config.Handler
	datadriven.RunTest(t, "testdata/api", func(t *testing.T, d *datadriven.TestData) string {
		var path, token, key string
		d.ScanArgs(t, "path", &path)
		d.MaybeScanArgs(t, "token", &token)
		d.MaybeScanArgs(t, "key", &key)
		request := httptest.NewRequest(strings.ToUpper(d.Cmd), "/apis/weldline/v1/"+path, strings.NewReader(d.Input))
		if token != "" {
			request.Header.Set("Authorization", "Bearer "+token)
		}
		if key != "" {
			request.Header.Set("Idempotency-Key", key)
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		return summarize(t, recorder)
	})
}

// summarize formats the parts of a response that are the same in every run.
func summarize(t *testing.T, recorder *httptest.ResponseRecorder) string {
	var body struct {
		Type, Field, ResourceVersion string
		Leader                       string
		Metadata                     v1.Metadata
		Items                        []v1.Resource
		Changed                      []resourceapi.ResourceName
	}
	if err := json.Unmarshal(recorder.Body.Bytes(), &body); err != nil {
		t.Fatalf("%q: %v", recorder.Body.String(), err)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%d", recorder.Code)
	if body.Type != "" {
		fmt.Fprintf(&out, " %s", body.Type[strings.LastIndex(body.Type, "/")+1:])
	}
	for name, value := range map[string]string{"field": body.Field} {
		if value != "" {
			fmt.Fprintf(&out, " %s=%s", name, value)
		}
	}
	if body.ResourceVersion != "" {
		fmt.Fprintf(&out, " version=%s", body.ResourceVersion)
	}
	if body.Metadata.Name != "" {
		fmt.Fprintf(&out, " %s@%s generation=%d", body.Metadata.Name, body.Metadata.ResourceVersion, body.Metadata.Generation)
	}
	if body.Leader != "" {
		fmt.Fprintf(&out, " leader=%s", body.Leader)
	}
	for _, item := range body.Items {
		fmt.Fprintf(&out, " %s@%s", item.Metadata.Name, item.Metadata.ResourceVersion)
	}
	for _, changed := range body.Changed {
		fmt.Fprintf(&out, " %s/%s", changed.Kind, changed.Name)
	}
	return out.String() + "\n"
}
