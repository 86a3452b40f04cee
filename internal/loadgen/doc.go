// Package loadgen drives real routers with an open-loop load and judges every
// answer.
//
// Requests are sent when they are due, whether or not earlier ones have been
// answered, and latencies count from when a request was due: so a slow system
// can't hide its slowness by slowing the load (coordinated omission). Every
// prompt is unique, and the emulated engines' answers follow from the prompt,
// so an answer that is cut short or belongs to someone else is found out.
package loadgen
