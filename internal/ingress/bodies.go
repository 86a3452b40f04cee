package ingress

import (
	"io"
	"net/http"
	"time"

	"github.com/weldline/weldline/internal/bodymemory"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/problem"
)

// retryAfterMemory leaves time for some of the uploads that take the memory.
const retryAfterMemory = time.Second

func (j *job) readBody() *problem.Document {
	limit := int64(defaultMaxBodyBytes)
	if declared := j.ingress.options.View.Declaration(); declared != nil && declared.MaxBodyBytes > 0 {
		limit = declared.MaxBodyBytes
	}
	body, err := j.readWithin(limit)
	switch err {
	case nil:
		j.body = body
		return nil
	case bodymemory.ErrTooLarge:
		return problem.New(problem.TypeTooLarge, http.StatusRequestEntityTooLarge, fault.Message(err))
	case bodymemory.ErrExhausted:
		document := problem.New(problem.TypeOverloaded, http.StatusServiceUnavailable, fault.Message(err))
		document.RetryAfter = retryAfterMemory
		return document
	}
	return problem.New(problem.TypeInvalid, http.StatusBadRequest, "the body could not be read whole")
}

// readWithin reads the body. What it reserves is released when the job ends.
func (j *job) readWithin(limit int64) ([]byte, error) {
	length := j.request.ContentLength
	switch {
	case length > limit:
		return nil, bodymemory.ErrTooLarge
	case length < 0:
		body, reserved, err := j.ingress.bodies.ReadAll(j.request.Body, limit)
		j.bodyBytes += reserved
		return body, err
	case !j.reserveBody(length, length):
		return nil, bodymemory.ErrExhausted
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(j.request.Body, body); err != nil {
		return nil, err
	}
	_, err := io.Copy(io.Discard, j.request.Body) // Reads the end.
	return body, err
}

func (j *job) reserveBody(bytes, total int64) bool {
	if !j.ingress.bodies.Reserve(bytes, total) {
		return false
	}
	j.bodyBytes += bytes
	return true
}
