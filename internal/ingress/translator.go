package ingress

import (
	"net/http"
	"time"

	"github.com/weldline/weldline/internal/ratelimit"
)

// Attributes are parsed from the headers of a client request. Fields that the
// request doesn't state are zero.
type Attributes struct {
	// ID identifies the client's attempt.
	ID string
	// Key is the client's secret key.
	Key string
	// Model and Adapter are the ones that the request needs.
	Model, Adapter string
	// Resumes is the ID of the attempt that began the stream that the request takes up. LastEvent is the
	// ID of the last event that the client has of it.
	Resumes, LastEvent string
	// Timeout is the client's timeout.
	Timeout time.Duration
	// PromptTokens is the length of the prompt, SharedTokens that of its shared
	// prefix, and OutputTokens the maximum length of the output.
	PromptTokens, SharedTokens, OutputTokens float64
	// Prefix identifies the shared prefix of the prompt.
	Prefix uint64
	// PromptParts are the IDs of the parts of the prompt that other requests may share, without duplicates, in a
	// form that is equal for equal parts. There are at most MaxPromptParts of them.
	PromptParts []string
}

// MaxPromptParts bounds the parts of a prompt that a router keeps track of. Clients choose their number.
const MaxPromptParts = 64

// Attempt is what the headers of a request tell its machine.
type Attempt struct {
	Machine   string
	Remaining time.Duration
	// Priority orders requests at the machine; higher values come first.
	Priority int32
	// Tenant is the authenticated tenant, or empty.
	Tenant string
}

// Verdict is the interpretation of a response's status and headers.
type Verdict struct {
	// ForRequest is set if the response belongs to this request.
	ForRequest bool
	// Genuine is set if the response comes from the machine itself, not from a
	// fault between it and the router.
	Genuine bool
	// NotRun is set if the machine states that it did not run the request.
	NotRun bool
	// WrongMachine is set if the machine did not run the request because it is not the
	// intended one or lacks the model.
	WrongMachine bool
	// Statement is what the machine says about itself.
	Statement Statement
}

// Statement is what a machine says about itself in the headers of a response.
type Statement struct {
	// Limit is the machine's rate limit for all routers together.
	Limit ratelimit.Limit
	// BackOff is how long the router is asked to back off.
	BackOff time.Duration
	// Leaving is set if the machine is about to shut down.
	Leaving bool
	// Brittle is set if the machine fails when it has to reject more than MaxRejections requests per
	// second from all routers together.
	Brittle       bool
	MaxRejections float64
	// Invalid has an error of type fault.Invalid for each header that can't be parsed. The field of
	// such a header is not set.
	Invalid []error
}

// Translator reads and writes the headers that clients and machines use.
type Translator interface {
	Describe(header http.Header) Attributes
	// Prepare writes an attempt into the headers of a request.
	Prepare(header http.Header, attempt Attempt)
	// Interpret interprets the response to the request with the given ID.
	Interpret(status int, response http.Header, id string) Verdict
	// ProbeTarget is the path of a GET request to which machines respond without running anything.
	ProbeTarget() string
}
