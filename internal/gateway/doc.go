// Package gateway is the callers' side of a router: OpenAI-compatible
// inference and generic services over HTTP.
//
// The problem: a caller must get the whole answer to its own request, or a
// true statement about what became of it, before its deadline, while engines
// stop, fail, answer late and refuse.
//
// The mechanism: a request is checked, held to the declared limits, and given
// to the dispatcher, which grants a replica or refuses. Each attempt has an
// id of its own that the engine repeats; an answer with another id is
// discarded. An attempt that an engine proves not to have run is tried again;
// one that failed before the caller saw anything is tried again under a retry
// budget, since generating an answer twice does no harm. Once the caller has
// seen part of an answer, it is resumed at the exact event or ended with a
// typed error, never as if complete. Requests that may not be repeated go
// through claims (see services.go).
package gateway
