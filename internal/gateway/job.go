package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/problem"
)

// Headers of requests and responses.
const (
	// HeaderDeadline is the caller's timeout, as a Go duration.
	HeaderDeadline = "X-Weldline-Deadline"
	// HeaderCaller names the caller, for limits and as the scope of idempotency keys.
	HeaderCaller = "X-Weldline-Caller"
	// HeaderService names the service of a model that belongs to several.
	HeaderService = "X-Weldline-Service"
	// HeaderRequestID is the request's ID; one is generated if it is missing.
	HeaderRequestID = "X-Request-Id"
	// HeaderReplicaWait is a response header with the milliseconds that the
	// request was queued for a replica.
	HeaderReplicaWait = "X-Weldline-Replica-Wait"
	// HeaderTraceParent is the W3C trace context.
	HeaderTraceParent = "Traceparent"

	maxDeadline = 24 * time.Hour
	// prefixBytes is the length of the prompt prefix that is matched with an
	// engine's prefix cache.
	prefixBytes = 512
)

// job is the state of one client request.
type job struct {
	id          string
	path        string
	body        []byte
	contentType string
	traceParent string
	caller      string
	arrived     time.Time
	deadline    time.Time
	stream      bool
	target      nodeview.Target
	service     string
	spec        *v1.ServiceSpec
	prefix      uint64
	// promptParts are the IDs of the parts of the prompt that other requests may share.
	promptParts []string
}

// inferenceBody has the fields of an inference request that the router reads.
type inferenceBody struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

func newRequestID() string {
	var bytes [12]byte
	_, _ = rand.Read(bytes[:])
	return hex.EncodeToString(bytes[:])
}

// traceParentOf returns the header if it is valid, and else a new trace context.
func traceParentOf(header string) string {
	parts := strings.Split(header, "-")
	if len(parts) == 4 && len(parts[0]) == 2 && len(parts[1]) == 32 && len(parts[2]) == 16 && len(parts[3]) == 2 {
		return header
	}
	var bytes [24]byte
	_, _ = rand.Read(bytes[:])
	return "00-" + hex.EncodeToString(bytes[:16]) + "-" + hex.EncodeToString(bytes[16:]) + "-01"
}

// newJob reads the common headers and the body of a request.
func (g *Gateway) newJob(writer http.ResponseWriter, request *http.Request) (*job, *problem.Document) {
	j := &job{
		id: request.Header.Get(HeaderRequestID), path: request.URL.Path, arrived: time.Now(),
		caller: request.Header.Get(HeaderCaller), contentType: request.Header.Get("Content-Type"),
		traceParent: traceParentOf(request.Header.Get(HeaderTraceParent)),
	}
	if j.id == "" {
		j.id = newRequestID()
	}
	writer.Header().Set(HeaderRequestID, j.id)
	writer.Header().Set(HeaderTraceParent, j.traceParent)
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, g.options.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return j, problem.New(problem.TypeTooLarge, http.StatusRequestEntityTooLarge, "the body could not be read whole: "+err.Error())
	case err != nil:
		return j, invalid("body", "the body could not be read whole: %s", err.Error())
	}
	j.body = body
	return j, nil
}

// setDeadline sets the deadline from the header, or else from the service.
func (j *job) setDeadline(header string) *problem.Document {
	wait := time.Duration(j.spec.Deadline)
	if header != "" {
		parsed, err := time.ParseDuration(header)
		if err != nil || parsed <= 0 || parsed > maxDeadline {
			return invalid(HeaderDeadline, "%s must be a duration between 0s and %s, not %q", HeaderDeadline, maxDeadline, header)
		}
		wait = parsed
	}
	j.deadline = j.arrived.Add(wait)
	return nil
}

func invalid(field, format string, arguments ...any) *problem.Document {
	document := problem.FromError(fault.InvalidField(field, format, arguments...))
	document.Status = http.StatusBadRequest
	return document
}

// readInference parses an inference request and resolves its model and service.
func (g *Gateway) readInference(j *job, request *http.Request) *problem.Document {
	var body inferenceBody
	if err := json.Unmarshal(j.body, &body); err != nil {
		return invalid("body", "the body is not a JSON object: %s", err.Error())
	}
	if body.Model == "" {
		return invalid("model", "model is required")
	}
	target, found := g.options.View.Resolve(body.Model)
	if !found {
		document := problem.New(problem.TypeNotFound, http.StatusNotFound, "model "+body.Model+" is not declared, or has no version to serve")
		document.Field = "model"
		return document
	}
	j.target = target
	j.stream = body.Stream
	j.prefix, j.promptParts = prefixOf(body), promptPartsOf(body)
	named := request.Header.Get(HeaderService)
	j.service, j.spec = g.options.View.ServiceOf(target.Model, named)
	if j.spec == nil {
		document := problem.New(problem.TypeNotFound, http.StatusNotFound, "no such service offers model "+target.Model)
		document.Field = HeaderService
		return document
	}
	return j.setDeadline(request.Header.Get(HeaderDeadline))
}

func prefixOf(body inferenceBody) uint64 {
	prompt := body.Prompt
	if len(prompt) == 0 {
		prompt = body.Messages
	}
	if len(prompt) == 0 {
		return 0
	}
	return xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
}

// acquireLimits applies the limits of the service. It returns a function that
// releases what the request holds of them.
func (g *Gateway) acquireLimits(j *job) (func(), *problem.Document) {
	specs := g.options.View.Limits(j.service)
	if len(specs) == 0 {
		return func() {}, nil
	}
	routers := int(g.options.View.Digest().GetRouters())
	release, refusal := g.limits.Acquire(j.arrived, specs, j.caller, routers)
	if refusal == nil {
		return release, nil
	}
	document := problem.New(problem.TypeLimited, http.StatusTooManyRequests, "limit "+refusal.Limit+" is reached")
	document.RetryAfter = refusal.RetryAfter
	return nil, document
}

func (j *job) context(parent context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(parent, j.deadline)
}
