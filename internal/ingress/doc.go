// Package ingress forwards callers' requests by the declared routes.
//
// The problem: a caller must get the one whole answer to its own request or a
// truthful failure. A request that may not be repeated
// runs at most once, although machines refuse, hang, break off, answer late or
// vanish; a refusal that says "not run" is a promise; a caller that has left
// must not keep a machine busy.
//
// The mechanism: a request waits in the dispatcher until a machine has a place
// for it, and is refused early where that can't come in time. It is sent once;
// it is sent again only where the machine proved that it did not run it, or
// where the route allows repeating and the fleet's retry budget has room. An
// answer's head and body pass through unchanged, piece by piece; if the machine
// breaks off, so does the caller's connection, so that a part never looks like
// the whole. What a machine's answers mean is for a Translator to say: this
// package knows no header by name.
package ingress
