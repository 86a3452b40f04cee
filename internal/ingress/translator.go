package ingress

import (
	"net/http"
	"time"

	"github.com/weldline/weldline/internal/ratelimit"
)

// Attributes are what a request states about itself.
type Attributes struct {
	// ID names the caller's attempt.
	ID string
	// Key is the caller's secret; empty if it shows none.
	Key string
	// Model and Adapter are the ones that the request needs; empty for none.
	Model, Adapter string
	// Timeout is how long the caller waits; 0 if it does not say.
	Timeout time.Duration
	// PromptTokens are read before the answer begins, SharedTokens of them at
	// the beginning that others share; OutputTokens are the most that it has. All
	// are 0 where a request has no tokens.
	PromptTokens, SharedTokens, OutputTokens float64
	// Prefix identifies the beginning of the prompt that others share; 0 if
	// there is none.
	Prefix uint64
}

// Attempt is what the headers of a request carry to its machine.
type Attempt struct {
	Machine   string
	Remaining time.Duration
	// Priority orders requests at the machine; higher first.
	Priority int32
	// Tenant is the authenticated tenant, or empty.
	Tenant string
}

// Verdict is the interpretation of a response's status and headers.
type Verdict struct {
	// ForRequest is set if the answer is to this request.
	ForRequest bool
	// Genuine is set if it is the machine's answer, and not something that a
	// fault put in its place.
	Genuine bool
	// NotRun is set where the machine says that it did not run the request.
	NotRun bool
	// WrongMachine is set where it did not because it is another machine, or does
	// not hold what the request needs.
	WrongMachine bool
	// Statement is what the machine states about itself.
	Statement Statement
}

// Statement is what a machine states about itself in the head of an answer. The zero statement asks for
// nothing.
type Statement struct {
	// Limit is how many requests a second the machine takes from all routers together.
	Limit ratelimit.Limit
	// BackOff is for how long the machine wants no request from this node; 0 if it asks for none.
	BackOff time.Duration
	// Leaving is set where the machine is about to shut down.
	Leaving bool
	// Invalid holds an error of type fault.Invalid for each part that can't be used. Such a part is not set above.
	Invalid []error
}

// Translator knows the headers that callers and machines use.
type Translator interface {
	Describe(header http.Header) Attributes
	// Prepare writes an attempt into the headers of a request.
	Prepare(header http.Header, attempt Attempt)
	Interpret(status int, answer http.Header, id string) Verdict
}
