// Package feed spreads the control plane's state to nodes and carries their
// reports and proposals back.
//
// The problem: an accepted configuration must be in force on hundreds of
// nodes within seconds and never revert, not even when a node changes from
// one server to another that is further behind; and the leader must not hold
// a connection to each of them.
//
// The mechanism: a Server serves a Backend to any number of Clients. Control
// nodes are backends by their copy of the state; a relay is a backend by what
// its own Client received, so servers form a tree. A client asks for the
// changes after the revision that it holds. Changes come in order of
// revision; a client refuses whatever is not newer than what it has applied,
// and skips a list that is older. A watcher that is too far behind, or whose
// queue is full, is disconnected and lists again.
//
// Reports are soft state, sent upwards again and again; proposals are calls
// with a reply, forwarded upwards until they reach the leader.
package feed
