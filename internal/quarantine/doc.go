// Package quarantine stops requests that crash the machines that run them. A request is identified
// by its content, since callers retry it under other IDs and through other routers. Requests that differ may
// share what crashes machines, so the parts of their prompts are suspects too. A suspect that was
// running during Threshold crashes is refused by every router; one that completes is
// cleared. Invariant: a record counts each process instance once, and a quarantine ends only by
// eviction, an operator or a completed run.
package quarantine
