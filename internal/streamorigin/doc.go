// Package streamorigin remembers which version of a worker's software began each stream that may be resumed.
//
// What two versions write does not fit together, so a stream may go on only at the version that began it. A
// client takes a stream up at any router; it names the attempt that brought the stream's first event. Each
// router that sends an attempt to a worker therefore records the worker's version, and copies the record to
// two routers that are chosen by the attempt.
//
// Invariant: what is found is the version of the last worker that the attempt was sent to, or nothing. A lost
// record makes a stream end, never go on elsewhere.
package streamorigin
