// Package loadgen sends an open-loop load to routers and verifies every response.
//
// Requests are sent on schedule regardless of earlier responses, and latencies count from the
// scheduled time, which avoids coordinated omission. Every prompt is unique and the emulated engines
// derive their responses from it, so truncated and misrouted responses are detected.
package loadgen
