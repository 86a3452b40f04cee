// Package gateway is the client-facing HTTP API of a router: OpenAI-compatible
// inference and generic back-end services.
//
// A client gets either the complete response to its own request or a problem
// that states whether the request may have run. Attempts that did not run are
// retried, and failed ones are retried under a budget until the client has seen
// part of a response. From then on a stream is resumed at the next event or ended
// with a typed error. Unrepeatable requests run under claims.
package gateway
