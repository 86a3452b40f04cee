// Package problem writes errors to HTTP clients as RFC 9457 problem documents.
package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/weldline/weldline/internal/fault"
)

const (
	// ContentType is the media type of problem documents.
	ContentType = "application/problem+json"
	typePrefix  = "https://weldline.dev/problems/"
)

// Outcome tells the caller of a failed request whether it may have run.
type Outcome string

// The outcomes of a failed request.
const (
	// OutcomeNotRun means that the request did not run and never will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run or may still be running.
	OutcomeUnknown Outcome = "unknown"
)

// Document is an RFC 9457 problem document.
type Document struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Field   string  `json:"field,omitempty"`
	Outcome Outcome `json:"outcome,omitempty"`
	// ResourceVersion is the current version if a conditional write failed.
	ResourceVersion string `json:"resourceVersion,omitempty"`
	RequestID       string `json:"requestId,omitempty"`
	// RetryAfter is sent as a header, rounded up to seconds.
	RetryAfter time.Duration `json:"-"`
}

// The problem types, without typePrefix. docs/API.md lists them.
const (
	TypeInvalid        = "invalid"
	TypeConflict       = "conflict"
	TypeNotFound       = "not-found"
	TypeInUse          = "in-use"
	TypeUnauthorized   = "unauthorized"
	TypeExpired        = "expired"
	TypeUnavailable    = "unavailable"
	TypeDeadline       = "deadline"
	TypeOverloaded     = "overloaded"
	TypeLimited        = "limited"
	TypeTooLarge       = "too-large"
	TypeKeyMismatch    = "idempotency-key-mismatch"
	TypeKeyMissing     = "idempotency-key-missing"
	TypeOutcomeUnknown = "outcome-unknown"
	TypeEngineFailed   = "engine-failed"
	TypeStreamBroken   = "stream-broken"
	TypeNotLoadable    = "not-loadable"
	TypeStopping       = "stopping"
	TypeQuarantined    = "quarantined"
	TypeNoRegion       = "no-allowed-region"
	TypeInternalError  = "internal"
)

var titles = map[string]string{
	TypeInvalid:        "The request is not valid",
	TypeConflict:       "The resource has another version",
	TypeNotFound:       "There is no such thing",
	TypeInUse:          "The resource is in use",
	TypeUnauthorized:   "The key or token does not allow this",
	TypeExpired:        "The position is too old; list again",
	TypeUnavailable:    "The service can't answer now",
	TypeDeadline:       "The deadline can't be met",
	TypeOverloaded:     "Too many requests wait already",
	TypeLimited:        "A declared limit is reached",
	TypeTooLarge:       "The request is too large",
	TypeKeyMismatch:    "The key was used for another request",
	TypeKeyMissing:     "An Idempotency-Key is required",
	TypeOutcomeUnknown: "The outcome is not known",
	TypeEngineFailed:   "The back end failed",
	TypeStreamBroken:   "The stream broke before its end",
	TypeNotLoadable:    "The model can't be loaded",
	TypeStopping:       "This node is stopping",
	TypeQuarantined:    "Machines have ended each time that they ran this request",
	TypeNoRegion:       "No machine in an allowed region may serve the request",
	TypeInternalError:  "An internal error",
}

// New returns a document of a problem type.
func New(kind string, status int, detail string) *Document {
	return &Document{Type: typePrefix + kind, Title: titles[kind], Status: status, Detail: detail}
}

// Kind returns the problem type without typePrefix.
func (d *Document) Kind() string {
	return d.Type[len(typePrefix):]
}

// FromError returns the document for a typed error.
func FromError(err error) *Document {
	for _, mapping := range mappings {
		if fault.Is(err, mapping.fault) {
			document := New(mapping.kind, mapping.status, fault.Message(err))
			document.Field = fault.FieldOf(err)
			return document
		}
	}
	return New(TypeInternalError, http.StatusInternalServerError, fault.Message(err))
}

var mappings = []struct {
	fault  *errorx.Type
	kind   string
	status int
}{
	{fault.Invalid, TypeInvalid, http.StatusUnprocessableEntity},
	{fault.Conflict, TypeConflict, http.StatusConflict},
	{fault.NotFound, TypeNotFound, http.StatusNotFound},
	{fault.InUse, TypeInUse, http.StatusConflict},
	{fault.Unauthorized, TypeUnauthorized, http.StatusUnauthorized},
	{fault.Expired, TypeExpired, http.StatusGone},
	{fault.Unavailable, TypeUnavailable, http.StatusServiceUnavailable},
	{fault.Deadline, TypeDeadline, http.StatusGatewayTimeout},
	{fault.Refused, TypeOverloaded, http.StatusTooManyRequests},
	{fault.Engine, TypeEngineFailed, http.StatusBadGateway},
}

// Write sends the document as the response.
func (d *Document) Write(writer http.ResponseWriter) {
	header := writer.Header()
	header.Set("Content-Type", ContentType)
	if d.RetryAfter > 0 {
		seconds := int64((d.RetryAfter + time.Second - 1) / time.Second)
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	content, err := json.Marshal(d)
	if err == nil {
		content = append(content, '\n')
		// The client has the whole response even if the handler goes on for a while.
		header.Set("Content-Length", strconv.Itoa(len(content)))
	}
	writer.WriteHeader(d.Status)
	_, _ = writer.Write(content) // A client that has left needs no answer.
}
