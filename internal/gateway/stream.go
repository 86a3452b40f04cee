package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/weldline/weldline/api/engine"
	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/problem"
)

const (
	maxEventBytes = 1 << 20
	stallTimeout  = 30 * time.Second
	maxResumes    = 3
	resumeDelay   = 50 * time.Millisecond
)

var streamEndMarker = []byte("data: [DONE]")

// streamRelay relays a stream of server-sent events. It sends only complete
// events and counts them, so that a broken stream can be resumed at the next one.
type streamRelay struct {
	gateway     *Gateway
	writer      http.ResponseWriter
	job         *job
	grant       *dispatch.Grant
	attemptID   string
	deadlineCtx context.Context

	relayed  int
	finished bool
	// clientGone is set when a write to the client failed.
	clientGone bool
}

// run relays the stream to its end. It calls stop at the first event to remove the
// deadline.
func (s *streamRelay) run(ctx context.Context, stop func() bool, response *http.Response) attemptOutcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.copyEvents(response, cancel, stop)
	if !s.finished && !s.clientGone && ctx.Err() == nil {
		s.gateway.reportBroken(s.job, s.grant)
	}
	for resumes := 0; !s.finished && !s.clientGone; resumes++ {
		if s.relayed == 0 {
			return failureOutcome(s.deadlineCtx)
		}
		if resumes == maxResumes || ctx.Err() != nil {
			s.writeStreamError()
			return outcomeBroken
		}
		if !s.resume(ctx, cancel) {
			time.Sleep(resumeDelay)
		}
	}
	return outcomeAnswered
}

// copyEvents relays events until the stream ends or breaks.
func (s *streamRelay) copyEvents(response *http.Response, cancel context.CancelFunc, stop func() bool) {
	reader := bufio.NewReader(response.Body)
	stall := time.AfterFunc(stallTimeout, cancel)
	defer stall.Stop()
	for !s.finished {
		event, err := readEvent(reader)
		if err != nil {
			return
		}
		stall.Reset(stallTimeout)
		if s.relayed == 0 {
			stop()
			s.writeHeader(response)
		}
		if _, err := s.writer.Write(event); err != nil {
			s.clientGone = true
			return
		}
		_ = http.NewResponseController(s.writer).Flush()
		s.relayed++
		s.finished = bytes.Contains(event, streamEndMarker)
	}
}

func (s *streamRelay) writeHeader(response *http.Response) {
	s.gateway.options.Metrics.firstByte.Observe(time.Since(s.job.arrived).Seconds())
	copyResponseHeaders(s.writer.Header(), response.Header)
	s.writer.WriteHeader(response.StatusCode)
}

// readEvent reads one event, including the blank line that ends it.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		if err != nil && err != bufio.ErrBufferFull {
			return nil, fault.Engine.Wrap(err, "reading a stream")
		}
		if len(event) > maxEventBytes {
			return nil, fault.Engine.New("event is longer than %d bytes", maxEventBytes)
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}

// resume requests the rest of the stream from the engine. It returns false if the
// engine is unreachable or does not know the request.
func (s *streamRelay) resume(ctx context.Context, cancel context.CancelFunc) bool {
	path := "/v1/requests/" + url.PathEscape(s.attemptID) + "/stream?from=" + strconv.Itoa(s.relayed)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.grant.Target.Endpoint+path, nil)
	if err != nil {
		return false
	}
	response, err := s.gateway.engines.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	known := response.StatusCode == http.StatusOK && response.Header.Get(engine.HeaderRequestID) == s.attemptID
	if !known {
		return false
	}
	s.gateway.options.Metrics.resumed.Inc()
	s.copyEvents(response, cancel, func() bool { return true })
	return true
}

// writeStreamError ends the client's stream with a typed error and without the end
// marker, so that no client takes the stream for complete.
func (s *streamRelay) writeStreamError() {
	document := problem.New(problem.TypeStreamBroken, http.StatusBadGateway, "the stream broke after "+strconv.Itoa(s.relayed)+" events")
	document.Outcome = problem.OutcomeUnknown
	document.RequestID = s.job.id
	s.gateway.options.Metrics.problems.WithLabelValues(document.Kind(), string(document.Outcome)).Inc()
	encoded, err := json.Marshal(struct {
		Error *problem.Document `json:"error"`
	}{document})
	if err != nil {
		return
	}
	_, _ = s.writer.Write([]byte("event: error\ndata: " + string(encoded) + "\n\n"))
	_ = http.NewResponseController(s.writer).Flush()
}
