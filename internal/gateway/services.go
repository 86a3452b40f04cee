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
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/problem"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// maxRecordedBodyBytes bounds the body of a response that is recorded for resends.
	maxRecordedBodyBytes = 64 << 10
	// recordTimeout bounds the recording of a result. The sweep of open claims
	// closes claims whose result was not recorded.
	recordTimeout = 10 * time.Second
	maxKeyLength  = 255
	// headerReplayed marks a response that was recorded earlier.
	headerReplayed = "Idempotent-Replayed"
)

// call is a request to a generic back end.
type call struct {
	*job
	method string
	// target is the path and query sent to the back end.
	target string
	// key is the idempotency key.
	key string
	// owner identifies the holder of the claim.
	owner string
}

func (g *Gateway) serveService(writer http.ResponseWriter, request *http.Request) {
	j, document := g.newJob(writer, request)
	if document != nil {
		g.refuse(writer, j.id, document)
		return
	}
	c, document := g.readCall(j, request)
	if document != nil {
		g.refuse(writer, j.id, document)
		return
	}
	release, document := g.acquireLimits(j)
	if document != nil {
		g.refuse(writer, j.id, document)
		return
	}
	defer release()
	g.budget.deposit()
	ctx, cancel := j.context(request.Context())
	defer cancel()
	result := ""
	if isUnrepeatable(j.spec.Backend, c) {
		result = g.runUnrepeatable(ctx, writer, c)
	} else {
		result = g.runRepeatable(ctx, writer, c)
	}
	g.options.Metrics.requests.WithLabelValues(j.service, result).Inc()
}

func (g *Gateway) readCall(j *job, request *http.Request) (*call, *problem.Document) {
	variables := mux.Vars(request)
	j.service = variables["service"]
	j.spec = g.options.View.Service(j.service)
	if j.spec == nil || j.spec.Backend == nil {
		document := problem.New(problem.TypeNotFound, http.StatusNotFound, "there is no back-end service "+j.service)
		document.Field = "service"
		return nil, document
	}
	c := &call{job: j, method: request.Method, target: "/" + variables["path"]}
	if request.URL.RawQuery != "" {
		c.target += "?" + request.URL.RawQuery
	}
	if document := j.setDeadline(request.Header.Get(HeaderDeadline)); document != nil {
		return nil, document
	}
	c.key = request.Header.Get(engine.HeaderIdempotencyKey)
	c.owner = g.options.Node + "/" + j.id + "/" + strconv.FormatUint(g.sequence.Add(1), 10)
	return c, c.checkKey()
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

func isUnrepeatable(backend *v1.BackendSpec, c *call) bool {
	if c.method != http.MethodPost {
		return false
	}
	for _, prefix := range backend.Unrepeatable {
		if strings.HasPrefix(c.target, prefix) {
			return true
		}
	}
	return false
}

// claimKey returns the idempotency key qualified by service and caller.
func (c *call) claimKey() string {
	return c.service + "|" + c.caller + "|" + c.key
}

func (c *call) fingerprint() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(c.method + " " + c.target + "\n")
	_, _ = digest.Write(c.body)
	return digest.Sum64()
}

// runUnrepeatable runs an unrepeatable request under a claim, by the steps of
// claims.Attempt.
func (g *Gateway) runUnrepeatable(ctx context.Context, writer http.ResponseWriter, c *call) string {
	attempt := &claims.Attempt{}
	result, err := g.claims.Open(ctx, c.claimKey(), c.fingerprint(), c.owner, c.deadline)
	switch attempt.Claimed(result.GetState(), err) {
	case claims.StepSend:
		return g.sendClaimed(ctx, writer, c, attempt)
	case claims.StepReplay:
		return replay(writer, result.GetAnswer())
	case claims.StepMismatch:
		document := problem.New(problem.TypeKeyMismatch, http.StatusUnprocessableEntity, "the key was used for a different request")
		document.Field = engine.HeaderIdempotencyKey
		g.refuse(writer, c.id, document)
		return "refused"
	}
	return g.answerUnknown(writer, c, unclaimedDetail(result, err))
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

func (g *Gateway) answerUnknown(writer http.ResponseWriter, c *call, detail string) string {
	document := problem.New(problem.TypeOutcomeUnknown, http.StatusGatewayTimeout, detail)
	document.Outcome = problem.OutcomeUnknown
	document.RetryAfter = time.Second
	g.fail(writer, c.id, document)
	return "unknown"
}

// sendClaimed sends a claimed request. It is retried only after an attempt that did
// not run.
func (g *Gateway) sendClaimed(ctx context.Context, writer http.ResponseWriter, c *call, attempt *claims.Attempt) string {
	dispatchRequest := &dispatch.Request{Version: c.service, Priority: c.spec.Priority, Arrived: c.arrived, Deadline: c.deadline}
	for number := 1; ; number++ {
		grant, refusal := g.services.Acquire(ctx, dispatchRequest)
		if refusal != nil {
			return g.closeNotRun(writer, c, attempt, refusal)
		}
		response, outcome := g.callBackend(ctx, g.singleUse, c, grant, number)
		g.services.Release(grant, outcome.result())
		g.options.Metrics.attempts.WithLabelValues(outcome.String()).Inc()
		switch attempt.Sent(claimOutcome(outcome)) {
		case claims.StepAnswer:
			g.recordResponse(c, response)
			response.write(writer)
			return outcome.String()
		case claims.StepSend:
			dispatchRequest.Avoid = grant.Target.Replica
			if !backOff(ctx, number) {
				dispatchRequest.Deadline = time.Now()
			}
		default:
			g.recordUnknown(c)
			return g.answerUnknown(writer, c, "the back end did not answer; the request may have run")
		}
	}
}

func claimOutcome(outcome attemptOutcome) claims.SendOutcome {
	switch outcome {
	case outcomeAnswered:
		return claims.SendAnswered
	case outcomeNotRun:
		return claims.SendNotRun
	}
	return claims.SendUnknown
}

// closeNotRun closes the claim and answers "not run".
func (g *Gateway) closeNotRun(writer http.ResponseWriter, c *call, attempt *claims.Attempt, refusal *dispatch.Refusal) string {
	if attempt.Refused() != claims.StepCloseNotRun {
		return g.answerUnknown(writer, c, "the request may have run")
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	err := g.claims.CloseNotRun(ctx, c.claimKey(), c.owner)
	if attempt.Closed(err) != claims.StepAnswerNotRun {
		return g.answerUnknown(writer, c, "the request was not sent, but its claim could not be closed")
	}
	return g.answerRefusal(writer, c.job, refusal, false)
}

// recordResponse records the response for resends, in the background. Until then a
// resend waits for the open claim.
func (g *Gateway) recordResponse(c *call, response *backendResponse) {
	if len(response.body.content) > maxRecordedBodyBytes {
		g.recordUnknown(c)
		return
	}
	answer := &wirepb.RecordedAnswer{Status: uint32(response.status), ContentType: response.contentType, Body: response.body.content}
	g.record(func(ctx context.Context) error {
		return g.claims.Complete(ctx, c.claimKey(), c.owner, answer)
	})
}

func (g *Gateway) recordUnknown(c *call) {
	g.record(func(ctx context.Context) error {
		return g.claims.CloseUnknown(ctx, c.claimKey(), c.owner)
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

// runRepeatable sends the request to back ends until one answers.
func (g *Gateway) runRepeatable(ctx context.Context, writer http.ResponseWriter, c *call) string {
	dispatchRequest := &dispatch.Request{Version: c.service, Priority: c.spec.Priority, Arrived: c.arrived, Deadline: c.deadline}
	failures := 0
	for attempt := 1; ; attempt++ {
		grant, refusal := g.services.Acquire(ctx, dispatchRequest)
		if refusal != nil {
			return g.answerRefusal(writer, c.job, refusal, failures > 0)
		}
		response, outcome := g.callBackend(ctx, g.engines, c, grant, attempt)
		g.services.Release(grant, outcome.result())
		g.options.Metrics.attempts.WithLabelValues(outcome.String()).Inc()
		if outcome == outcomeAnswered {
			response.write(writer)
			return outcome.String()
		}
		if outcome == outcomeDeadline {
			g.failUnknown(writer, c.job, "no answer from the back end before the deadline")
			return outcome.String()
		}
		if outcome == outcomeFailed {
			failures++
			if !isIdempotent(c.method) || failures >= maxFailedAttempts || !g.budget.withdraw() {
				g.failEngine(writer, c.job)
				return outcome.String()
			}
		}
		dispatchRequest.Avoid = grant.Target.Replica
		if !backOff(ctx, attempt) {
			dispatchRequest.Deadline = time.Now()
		}
	}
}

// isIdempotent follows RFC 9110.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// backendResponse is a back end's complete response.
type backendResponse struct {
	status      int
	contentType string
	body        *heldBody
}

// write sends the response to the client and releases its body.
func (r *backendResponse) write(writer http.ResponseWriter) {
	defer r.body.release()
	writer.Header().Set("Content-Type", r.contentType)
	writer.WriteHeader(r.status)
	_, _ = writer.Write(r.body.content)
}

// callBackend sends one attempt and reads the complete response. An attempt did
// not run if there was no connection or the back end says so.
func (g *Gateway) callBackend(ctx context.Context, client *http.Client, c *call, grant *dispatch.Grant, number int) (*backendResponse, attemptOutcome) {
	connected := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	attemptID := c.id + "." + strconv.Itoa(number)
	// net/http sends a request again by itself if it has no body, or one that can be read again.
	request, err := http.NewRequestWithContext(traced, c.method, grant.Target.Endpoint+c.target, io.NopCloser(bytes.NewReader(c.body)))
	if err != nil {
		return nil, outcomeNotRun
	}
	request.ContentLength = int64(len(c.body))
	request.Header.Set(engine.HeaderRequestID, attemptID)
	request.Header.Set(HeaderTraceParent, c.traceParent)
	if c.contentType != "" {
		request.Header.Set("Content-Type", c.contentType)
	}
	if c.key != "" {
		request.Header.Set(engine.HeaderIdempotencyKey, c.key)
	}
	response, err := client.Do(request)
	if err != nil {
		if !connected {
			return nil, outcomeNotRun
		}
		return nil, failureOutcome(ctx)
	}
	defer func() { _ = response.Body.Close() }()
	return g.readResponse(ctx, response, attemptID)
}

func (g *Gateway) readResponse(ctx context.Context, response *http.Response, attemptID string) (*backendResponse, attemptOutcome) {
	if echoed := response.Header.Get(engine.HeaderRequestID); echoed != "" && echoed != attemptID {
		g.options.Metrics.discarded.Inc()
		return nil, outcomeFailed
	}
	if response.Header.Get(engine.HeaderOutcome) == engine.OutcomeNotRun {
		if response.Header.Get(engine.HeaderRequestID) == "" {
			g.options.Metrics.discarded.Inc() // It may be left over from an earlier request.
			return nil, outcomeFailed
		}
		return nil, outcomeNotRun
	}
	body, err := g.readBody(response)
	if err != nil {
		g.options.Logger.Info("response_not_relayed", "id", attemptID, "error", fault.Message(err))
		return nil, failureOutcome(ctx)
	}
	return &backendResponse{status: response.StatusCode, contentType: response.Header.Get("Content-Type"), body: body}, outcomeAnswered
}
