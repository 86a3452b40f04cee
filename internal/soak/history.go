package soak

import (
	"sync"
	"time"

	"github.com/weldline/weldline/internal/places"
)

// Times are since the soak began.

// Request is what a caller sent.
type Request struct {
	ID     string
	Router string
	Sent   time.Duration
	// Repeatable is set where the request may run more than once.
	Repeatable bool
	// Plain is set where any machine of a pool without models can serve it.
	Plain bool
	// Allowed says in which regions it may be served.
	Allowed places.Constraint
}

// Outcome is what a caller was told.
type Outcome int

// The outcomes.
const (
	// OutcomeAnswered: an answer that claims to be whole.
	OutcomeAnswered Outcome = iota
	// OutcomeNotRun: a refusal that says that the request has not run and will not.
	OutcomeNotRun
	// OutcomeUnknown: a failure that says nothing of that, or a broken connection.
	OutcomeUnknown
	// OutcomeDenied: the request was refused as one that may not be, or is for nobody.
	OutcomeDenied
)

// Answer is what a caller got.
type Answer struct {
	Request string
	At      time.Duration
	Outcome Outcome
	// Right is set where an answer is the whole one to the request.
	Right bool
	// Kind tells apart, for reports, what the caller saw.
	Kind string
}

// Arrival is a request that a machine took.
type Arrival struct {
	Request string
	Machine string
	Place   Place
	At      time.Duration
	// Warming is set where the machine warmed up at that time.
	Warming bool
	// Limit is how many requests a second the machine had named that it takes, long enough before for
	// all routers in touch to know; 0 for none.
	Limit float64
}

// Place is where a machine stands.
type Place struct {
	Zone, Region string
}

// OrderKind is what an operator ordered.
type OrderKind int

// The kinds of orders.
const (
	// OrderDeclare declares a version of the configuration.
	OrderDeclare OrderKind = iota
	// OrderDrain drains a zone, OrderUndrain takes that back.
	OrderDrain
	OrderUndrain
)

// Order is an order of an operator that was acknowledged.
type Order struct {
	Kind OrderKind
	// Version is that of a declaration, Zone that of a drain.
	Version uint64
	Zone    string
	// Sent is when it was sent first, Acknowledged when it was acknowledged first.
	Sent, Acknowledged time.Duration
}

// Read is a configuration that was read back.
type Read struct {
	Node    string
	Version uint64
	Sent    time.Duration
}

// History is all that was seen from outside. It is safe for concurrent use while it is recorded.
type History struct {
	mutex    sync.Mutex
	Requests map[string]Request
	Answers  []Answer
	Arrivals []Arrival
	// Rejections are requests that machines turned away and did not run.
	Rejections []Rejection
	// Leaving are the answers in which machines said that they are leaving.
	Leaving []LeavingAnswer
	Orders  []Order
	// Ignored are orders that nobody acknowledged, though each was sent again and again; Acknowledged
	// is when the operator gave up.
	Ignored []Order
	Reads   []Read
	// Overcommits tells of loads for which a machine had no memory.
	Overcommits []string
	// Unserved tells of what did not come back after the last fault.
	Unserved []string
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{Requests: map[string]Request{}}
}

// Record lets the function add to the history.
func (h *History) Record(add func(history *History)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	add(h)
}
