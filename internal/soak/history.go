package soak

import (
	"sync"
	"time"

	"github.com/weldline/weldline/internal/places"
)

// All times are relative to the start of recording.

// Request is a request that a caller sent.
type Request struct {
	ID     string
	Router string
	Sent   time.Duration
	// Pool is the pool that serves the request, MaxAttempts how many machines its route allows, and Deadline how long its
	// client waits.
	Pool        string
	MaxAttempts int
	Deadline    time.Duration
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Plain is set if any machine of a pool without models can serve the request.
	Plain bool
	// Allowed are the regions that may serve the request.
	Allowed places.Constraint
	// HasPrompt is set if the request has a prompt with parts, and HarmfulPart is one of them that crashes machines;
	// empty for none.
	HasPrompt   bool
	HarmfulPart string
}

// Outcome is the result of a request as its caller knows it.
type Outcome int

const (
	// OutcomeAnswered is a response with status 200, complete or not.
	OutcomeAnswered Outcome = iota
	// OutcomeNotRun is a rejection with the guarantee that the request has not run and will not.
	OutcomeNotRun
	// OutcomeUnknown is a failure without that guarantee, or a broken connection.
	OutcomeUnknown
	// OutcomeDenied is any other status: the request is forbidden or no route matches it.
	OutcomeDenied
)

// Answer is the response to a request, or its failure.
type Answer struct {
	Request string
	At      time.Duration
	Outcome Outcome
	// Begun is set if a machine's response began.
	Begun bool
	// Right is set if the response is complete and belongs to the request.
	Right bool
	// Lost is set if the connection ended without a complete response. Received is set as well if the router had certainly received the
	// request, since it was sent together with one that was answered.
	Lost, Received bool
	// Unmarked is set if nothing but the end of the connection marks the end of the response.
	Unmarked bool
	// Kind groups answers in reports: the status and the reason, or the error.
	Kind string
}

// Arrival is a request that a machine ran.
type Arrival struct {
	Request string
	Machine string
	Place   Place
	At      time.Duration
	Warming bool
	// Router is the router that sent the request, which another one may have forwarded; empty if unknown.
	Router string
	// Limit is the rate limit in requests a second that the machine stated long enough before for all
	// connected routers to know; 0 for none.
	Limit float64
}

// Place is the location of a machine.
type Place struct {
	Zone, Region string
}

// OrderKind is what an Order asks for.
type OrderKind int

const (
	// OrderDeclare declares a configuration version.
	OrderDeclare OrderKind = iota
	// OrderDrain starts the drain of a zone.
	OrderDrain
	// OrderUndrain ends the drain of a zone.
	OrderUndrain
)

// Order is an order that an operator sent to the control nodes, with retries.
type Order struct {
	Kind OrderKind
	// Version belongs to a declaration, Zone to a drain.
	Version uint64
	Zone    string
	// Sent is the time of the first attempt, Acknowledged that of the first acknowledgement.
	Sent, Acknowledged time.Duration
}

// Read is a configuration version that a control node returned.
type Read struct {
	Node    string
	Version uint64
	Sent    time.Duration
}

// senderOf returns the router that sent a request to a machine: the one that the machine observed or, if that
// is unknown, the one that the caller sent it to.
func (h *History) senderOf(observed, request string) string {
	if observed != "" {
		return observed
	}
	return h.Requests[request].Router
}

// History is everything that callers, operators and machines observed. Record is safe for concurrent use.
type History struct {
	mutex      sync.Mutex
	Requests   map[string]Request
	Answers    []Answer
	Arrivals   []Arrival
	Rejections []Rejection
	// Sends are all requests that reached machines.
	Sends       []Send
	SendEnds    []SendEnd
	MachineEnds []MachineEnd
	// CutResponses has the requests whose responses machines cut off.
	CutResponses map[string]bool
	Leaving      []LeavingAnswer
	Falls        []Fall
	// PartCrashes are the machines that crashed because of a prompt part.
	PartCrashes []PartCrash
	CrowdCalls  []CrowdCall
	Uploads     []Upload
	// CutStreams is the number of streams that machines ended within an event.
	CutStreams int
	// Streams are the resumable streams that began.
	Streams []Stream
	Orders  []Order
	// Ignored are orders that no control node acknowledged despite retries; Acknowledged is when the operator
	// gave up.
	Ignored []Order
	Reads   []Read
	// Overcommits describes loads for which a machine had no memory.
	Overcommits []string
	// Unserved describes routers and control nodes that did not recover after the last fault.
	Unserved []string
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{Requests: map[string]Request{}, CutResponses: map[string]bool{}}
}

// Record calls add while it holds the history's lock.
func (h *History) Record(add func(history *History)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	add(h)
}
