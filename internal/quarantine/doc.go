// Package quarantine keeps a request that ends the machines that run it from ending more
// of them.
//
// The problem: such a request breaks off in the middle of its answer, and its caller sends
// it again, under another id and through another router. Each send looks like a new
// request, and ends one more machine with everything that runs there.
//
// The mechanism: a request is known by its content (Identity).
package quarantine
