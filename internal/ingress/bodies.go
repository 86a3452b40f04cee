package ingress

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/problem"
)

const (
	// bodyMemoryShare is the share of the node's memory that bodies may take together. The heap grows beyond what is in use
	// before it is collected.
	bodyMemoryShare = 3.0 / 8
	// largeBodyBytes is the length from which bodies leave the rest of largeBodyShare to shorter ones.
	largeBodyBytes = 256 << 10
	largeBodyShare = 7.0 / 8
	// firstBodyBytes is what is reserved first for a body of unknown length.
	firstBodyBytes = 4 << 10
	// retryAfterMemory leaves time for some of the uploads that take the memory.
	retryAfterMemory = time.Second
)

// bodyMemory bounds the bodies that are held at the same time. It is safe for concurrent use.
type bodyMemory struct {
	limit int64
	held  atomic.Int64
}

// newBodyMemory returns the bound for a node with so many bytes of memory; no bound if it is 0.
func newBodyMemory(nodeBytes int64) *bodyMemory {
	return &bodyMemory{limit: int64(bodyMemoryShare * float64(nodeBytes))}
}

// reserve reserves bytes for a body that then has a total, and reports whether there was room.
func (m *bodyMemory) reserve(bytes, total int64) bool {
	limit := m.limit
	if total > largeBodyBytes {
		limit = int64(largeBodyShare * float64(limit))
	}
	if m.held.Add(bytes) <= limit || m.limit == 0 {
		return true
	}
	m.held.Add(-bytes)
	return false
}

func (m *bodyMemory) release(bytes int64) { m.held.Add(-bytes) }

var (
	errBodyTooLarge = fault.Refused.New("the body has more bytes than are allowed")
	errNoBodyMemory = fault.Refused.New("this node holds as many bodies as it has memory for")
)

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
	case errBodyTooLarge:
		return problem.New(problem.TypeTooLarge, http.StatusRequestEntityTooLarge, fault.Message(err))
	case errNoBodyMemory:
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
		return nil, errBodyTooLarge
	case length < 0:
		return j.readUnknownLength(limit)
	case !j.reserveBody(length, length):
		return nil, errNoBodyMemory
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(j.request.Body, body); err != nil {
		return nil, err
	}
	_, err := io.Copy(io.Discard, j.request.Body) // Reads the end.
	return body, err
}

func (j *job) readUnknownLength(limit int64) ([]byte, error) {
	body := make([]byte, 0, firstBodyBytes)
	if !j.reserveBody(firstBodyBytes, firstBodyBytes) {
		return nil, errNoBodyMemory
	}
	for {
		count, err := j.request.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		switch {
		case int64(len(body)) > limit:
			return nil, errBodyTooLarge
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		case len(body) < cap(body):
			continue
		}
		if !j.reserveBody(int64(cap(body)), 2*int64(cap(body))) {
			return nil, errNoBodyMemory
		}
		body = append(make([]byte, 0, 2*cap(body)), body...)
	}
}

func (j *job) reserveBody(bytes, total int64) bool {
	if !j.ingress.bodies.reserve(bytes, total) {
		return false
	}
	j.bodyBytes += bytes
	return true
}
