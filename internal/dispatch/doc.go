// Package dispatch selects, within one router, the replica that serves each request, and queues
// requests for which there is no capacity. Scheduler is a pure state machine: time is an argument.
// Invariant: every submitted request is granted, refused as not run, or waiting.
package dispatch
