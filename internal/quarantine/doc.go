// Package quarantine keeps a request that ends the machines that run it from ending more
// of them.
//
// The problem: such a request breaks off in the middle of its answer, and its caller sends
// it again, under another id and through another router. Each send looks like a new
// request, and ends one more machine with everything that runs there.
//
// The mechanism: a request is known by its content (Identity). Everything that was at a
// machine when its process ended is recorded in the replicated log, machine by machine; a
// request under which QuarantineThreshold machines ended is refused by every router, and one
// that comes to its end is cleared.
//
// Invariant: a record counts each machine once, however many routers saw it end, and a
// machine that starts again has another name. A conviction is given up only for a newer one,
// an operator or a whole run.
package quarantine
