package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/weldline/weldline/internal/emulator"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/loadgen"
)

// loadCommand generates load and checks the responses.
type loadCommand struct {
	Routers     []string      `required:"" help:"Base URLs of the routers."`
	Platform    string        `help:"Base URL of the emulated platform, to check against its audit."`
	Duration    time.Duration `default:"20s" help:"Duration of the steady load."`
	Burst       int           `default:"120" help:"Number of initial requests to cold models."`
	Rate        float64       `default:"30" help:"Inference requests per second."`
	StreamShare float64       `default:"0.5" help:"Fraction of streaming requests."`
	Skew        float64       `default:"1.2" help:"Zipf exponent of the popularity of models."`
	Tokens      int           `default:"24" help:"Tokens to generate per request."`
	Service     string        `help:"Service for unrepeatable requests."`
	HoldRate    float64       `default:"20" help:"Unrepeatable requests per second."`
	Deadline    time.Duration `default:"20s" help:"Deadline of each request."`
	Seed        uint64        `default:"1" help:"Random seed."`
}

// errFailed is the type of the error for violated invariants.
var errFailed = fault.Engine

func (c *loadCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	plan := loadgen.Plan{
		Routers: c.Routers, Duration: c.Duration, Burst: c.Burst, Rate: c.Rate, StreamShare: c.StreamShare,
		Skew: c.Skew, Tokens: c.Tokens, Service: c.Service, HoldRate: c.HoldRate, Deadline: c.Deadline, Seed: c.Seed,
	}
	progress := func(text string) { fmt.Fprintln(os.Stderr, "weldbench: "+text) }
	summary, recorder, err := loadgen.Run(ctx, plan, progress)
	if err != nil {
		return err
	}
	if c.Platform != "" {
		audit, err := readAudit(ctx, c.Platform)
		if err != nil {
			return err
		}
		recorder.AddAuditViolations(*audit)
	}
	summary.SetResult()
	summary.WriteTable(os.Stdout)
	encoded, err := json.Marshal(summary)
	if err != nil {
		return fault.Internal.Wrap(err, "encoding the summary")
	}
	fmt.Println(string(encoded))
	if summary.Result != "ok" {
		return errFailed.New("invariants were violated under load")
	}
	return nil
}

func readAudit(ctx context.Context, platform string) (*emulator.Audit, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, platform+"/emulator/audit", nil)
	if err != nil {
		return nil, fault.InvalidField("platform", "%s", err.Error())
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fault.Unavailable.Wrap(err, "reading the emulator's audit")
	}
	defer func() { _ = response.Body.Close() }()
	audit := &emulator.Audit{}
	if err := json.NewDecoder(response.Body).Decode(audit); err != nil {
		return nil, fault.Protocol.Wrap(err, "decoding the emulator's audit")
	}
	return audit, nil
}
