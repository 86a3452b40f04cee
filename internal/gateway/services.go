package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/weldline/weldline/api/engine"
	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/claims"
	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/problem"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// maxRecordedAnswer bounds the answer kept for a resent request.
	maxRecordedAnswer = 64 << 10
	// recordTimeout bounds the recording of an answer or a failure. The
	// sweep of open claims stands behind it.
	recordTimeout = 10 * time.Second
	maxKeyLength  = 255
	// headerReplayed marks an answer that was recorded earlier.
	headerReplayed = "Idempotent-Replayed"
)

// call is a request to a generic back end.
type call struct {
	*job
	method string
	// path with the query, as the back end sees it.
	target string
	key    string
	owner  string
}

func (g *Gateway) serveService(writer http.ResponseWriter, request *http.Request) {
	created, document := g.newJob(writer, request)
	if document != nil {
		g.refuse(writer, created.id, document)
		return
	}
	entry, document := g.readCall(created, request)
	if document != nil {
		g.refuse(writer, created.id, document)
		return
	}
	release, document := g.enterLimits(created)
	if document != nil {
		g.refuse(writer, created.id, document)
		return
	}
	defer release()
	g.budget.earn()
	ctx, cancel := created.context(request.Context())
	defer cancel()
	result := ""
	if isUnrepeatable(created.spec.Backend, entry) {
		result = g.runOnce(ctx, writer, entry)
	} else {
		result = g.runRepeatable(ctx, writer, entry)
	}
	g.options.Metrics.requests.WithLabelValues(created.service, result).Inc()
}

func (g *Gateway) readCall(created *job, request *http.Request) (*call, *problem.Document) {
	variables := mux.Vars(request)
	created.service = variables["service"]
	created.spec = g.options.View.Service(created.service)
	if created.spec == nil || created.spec.Backend == nil {
		document := problem.New(problem.TypeNotFound, http.StatusNotFound, "there is no back-end service "+created.service)
		document.Field = "service"
		return nil, document
	}
	entry := &call{job: created, method: request.Method, target: "/" + variables["path"]}
	if request.URL.RawQuery != "" {
		entry.target += "?" + request.URL.RawQuery
	}
	if document := created.setDeadline(request.Header.Get(HeaderDeadline)); document != nil {
		return nil, document
	}
	entry.key = request.Header.Get(engine.HeaderIdempotencyKey)
	entry.owner = g.options.Node + "/" + created.id + "/" + strconv.FormatUint(g.sequence.Add(1), 10)
	return entry, entry.checkKey()
}

func (c *call) checkKey() *problem.Document {
	if len(c.key) > maxKeyLength {
		return invalid(engine.HeaderIdempotencyKey, "the key has more than %d characters", maxKeyLength)
	}
	if c.key == "" && isUnrepeatable(c.spec.Backend, c) {
		document := problem.New(problem.TypeKeyMissing, http.StatusBadRequest, "this request may not be repeated and needs an Idempotency-Key")
		document.Field = engine.HeaderIdempotencyKey
		return document
	}
	return nil
}

func isUnrepeatable(backend *v1.BackendSpec, entry *call) bool {
	if entry.method != http.MethodPost {
		return false
	}
	for _, prefix := range backend.Unrepeatable {
		if strings.HasPrefix(entry.target, prefix) {
			return true
		}
	}
	return false
}

// claimKey is unique per service and caller; callers don't share keys.
func (c *call) claimKey() string {
	return c.service + "|" + c.caller + "|" + c.key
}

func (c *call) fingerprint() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(c.method + " " + c.target + "\n")
	_, _ = digest.Write(c.body)
	return digest.Sum64()
}

// runOnce runs a request that may not be repeated under a claim. What to do
// next is decided by claims.Attempt.
func (g *Gateway) runOnce(ctx context.Context, writer http.ResponseWriter, entry *call) string {
	attempt := &claims.Attempt{}
	result, err := g.claims.Open(ctx, entry.claimKey(), entry.fingerprint(), entry.owner, entry.deadline)
	switch attempt.Claimed(result.GetState(), err) {
	case claims.StepSend:
		return g.sendOnce(ctx, writer, entry, attempt)
	case claims.StepReplay:
		return replay(writer, result.GetAnswer())
	case claims.StepMismatch:
		document := problem.New(problem.TypeKeyMismatch, http.StatusUnprocessableEntity, "the key was used for a different request")
		document.Field = engine.HeaderIdempotencyKey
		g.refuse(writer, entry.id, document)
		return "refused"
	}
	return g.answerUnknown(writer, entry, unclaimedDetail(result, err))
}

func unclaimedDetail(result *wirepb.ClaimResult, err error) string {
	switch {
	case err != nil:
		return "the request could not be claimed in time"
	case result.GetState() == wirepb.ClaimState_CLAIM_STATE_OPEN:
		return "the same request is still running elsewhere"
	}
	return "an earlier attempt under this key may have run"
}

func replay(writer http.ResponseWriter, answer *wirepb.RecordedAnswer) string {
	writer.Header().Set("Content-Type", answer.GetContentType())
	writer.Header().Set(headerReplayed, "true")
	writer.WriteHeader(int(answer.GetStatus()))
	_, _ = writer.Write(answer.GetBody())
	return "replayed"
}

func (g *Gateway) answerUnknown(writer http.ResponseWriter, entry *call, detail string) string {
	document := problem.New(problem.TypeUnknown, http.StatusGatewayTimeout, detail)
	document.Outcome = problem.OutcomeUnknown
	document.RetryAfter = time.Second
	g.fail(writer, entry.id, document)
	return "unknown"
}

// sendOnce sends a claimed request. It goes to another back end only where
// the one before proved not to have run it.
func (g *Gateway) sendOnce(ctx context.Context, writer http.ResponseWriter, entry *call, attempt *claims.Attempt) string {
	wanted := &dispatch.Request{Version: entry.service, Priority: entry.spec.Priority, Arrived: entry.arrived, Deadline: entry.deadline}
	for number := 1; ; number++ {
		grant, refusal := g.services.Acquire(ctx, wanted)
		if refusal != nil {
			return g.closeNotRun(writer, entry, attempt, refusal)
		}
		answer, end := g.callBackend(ctx, g.once, entry, grant, number)
		g.services.Release(grant, end.health())
		g.options.Metrics.attempts.WithLabelValues(end.String()).Inc()
		switch attempt.Sent(sendEnd(end)) {
		case claims.StepAnswer:
			g.recordAnswer(entry, answer)
			answer.write(writer)
			return end.String()
		case claims.StepSend:
			wanted.Avoid = grant.Target.Replica
			if !pause(ctx, number) {
				wanted.Deadline = time.Now()
			}
		default:
			g.recordUnknown(entry)
			return g.answerUnknown(writer, entry, "the back end did not answer; the request may have run")
		}
	}
}

func sendEnd(end attemptEnd) claims.SendOutcome {
	switch end {
	case endAnswered:
		return claims.SendAnswered
	case endNotRun:
		return claims.SendNotRun
	}
	return claims.SendUnknown
}

// closeNotRun says "not run" once the claim is closed against any later run.
func (g *Gateway) closeNotRun(writer http.ResponseWriter, entry *call, attempt *claims.Attempt, refusal *dispatch.Refusal) string {
	if attempt.Refused() != claims.StepCloseNotRun {
		return g.answerUnknown(writer, entry, "the request may have run")
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	err := g.claims.CloseNotRun(ctx, entry.claimKey(), entry.owner)
	if attempt.Closed(err) != claims.StepAnswerNotRun {
		return g.answerUnknown(writer, entry, "the request was not sent, but its claim could not be closed")
	}
	return g.answerRefusal(writer, entry.job, refusal, false)
}

// recordAnswer keeps the answer for a resend. It runs beside the caller's
// answer: until it is recorded, a resend waits on the open claim.
func (g *Gateway) recordAnswer(entry *call, answer *backendAnswer) {
	if len(answer.body) > maxRecordedAnswer {
		g.recordUnknown(entry)
		return
	}
	g.record(func(ctx context.Context) error {
		return g.claims.Complete(ctx, entry.claimKey(), entry.owner, &wirepb.RecordedAnswer{
			Status: uint32(answer.status), ContentType: answer.contentType, Body: answer.body,
		})
	})
}

func (g *Gateway) recordUnknown(entry *call) {
	g.record(func(ctx context.Context) error {
		return g.claims.CloseUnknown(ctx, entry.claimKey(), entry.owner)
	})
}

func (g *Gateway) record(resolve func(ctx context.Context) error) {
	g.inFlight.Add(1)
	go func() {
		defer g.inFlight.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if err := resolve(ctx); err != nil {
			g.options.Logger.Warn("claim_not_recorded", "error", err.Error())
		}
	}()
}

// runRepeatable tries back ends until one answers.
func (g *Gateway) runRepeatable(ctx context.Context, writer http.ResponseWriter, entry *call) string {
	wanted := &dispatch.Request{Version: entry.service, Priority: entry.spec.Priority, Arrived: entry.arrived, Deadline: entry.deadline}
	failures := 0
	for attempt := 1; ; attempt++ {
		grant, refusal := g.services.Acquire(ctx, wanted)
		if refusal != nil {
			return g.answerRefusal(writer, entry.job, refusal, failures > 0)
		}
		answer, end := g.callBackend(ctx, g.engines, entry, grant, attempt)
		g.services.Release(grant, end.health())
		g.options.Metrics.attempts.WithLabelValues(end.String()).Inc()
		if end == endAnswered {
			answer.write(writer)
			return end.String()
		}
		if end == endDeadline {
			g.failUnknown(writer, entry.job, "no answer from the back end before the deadline")
			return end.String()
		}
		if end == endFailed {
			failures++
			if !isSafe(entry.method) || failures >= maxFailedAttempts || !g.budget.spend() {
				g.failEngine(writer, entry.job)
				return end.String()
			}
		}
		wanted.Avoid = grant.Target.Replica
		if !pause(ctx, attempt) {
			wanted.Deadline = time.Now()
		}
	}
}

// isSafe lists the methods that HTTP defines as repeatable.
func isSafe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// backendAnswer is a back end's whole answer.
type backendAnswer struct {
	status      int
	contentType string
	body        []byte
}

func (a *backendAnswer) write(writer http.ResponseWriter) {
	writer.Header().Set("Content-Type", a.contentType)
	writer.WriteHeader(a.status)
	_, _ = writer.Write(a.body)
}

// callBackend sends one attempt and reads its whole answer. An attempt is
// proved not to have run where no connection came about, or the back end
// says so.
func (g *Gateway) callBackend(ctx context.Context, client *http.Client, entry *call, grant *dispatch.Grant, number int) (*backendAnswer, attemptEnd) {
	connected := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	attemptID := entry.id + "." + strconv.Itoa(number)
	request, err := http.NewRequestWithContext(traced, entry.method, grant.Target.Endpoint+entry.target, bytes.NewReader(entry.body))
	if err != nil {
		return nil, endNotRun
	}
	// net/http repeats requests with an Idempotency-Key by itself if it can
	// rewind the body; this one must be sent once.
	request.GetBody = nil
	request.Header.Set(engine.HeaderRequestID, attemptID)
	request.Header.Set(HeaderTraceParent, entry.traceParent)
	if entry.contentType != "" {
		request.Header.Set("Content-Type", entry.contentType)
	}
	if entry.key != "" {
		request.Header.Set(engine.HeaderIdempotencyKey, entry.key)
	}
	response, err := client.Do(request)
	if err != nil {
		if !connected {
			return nil, endNotRun
		}
		return nil, failedBy(ctx)
	}
	defer func() { _ = response.Body.Close() }()
	return g.readAnswer(ctx, response, attemptID)
}

func (g *Gateway) readAnswer(ctx context.Context, response *http.Response, attemptID string) (*backendAnswer, attemptEnd) {
	if echoed := response.Header.Get(engine.HeaderRequestID); echoed != "" && echoed != attemptID {
		g.options.Metrics.discarded.Inc()
		return nil, endFailed
	}
	if response.Header.Get(engine.HeaderOutcome) == engine.OutcomeNotRun {
		return nil, endNotRun
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPlainAnswer+1))
	if err != nil || len(body) > maxPlainAnswer {
		return nil, failedBy(ctx)
	}
	return &backendAnswer{status: response.StatusCode, contentType: response.Header.Get("Content-Type"), body: body}, endAnswered
}
