// Package subset selects the machines and replicas that each node learns of, so that a node's memory
// and traffic don't grow with the number of machines.
//
// A group has the members that can serve a kind of request in one region. A node learns of a limited
// number of members of each group: mostly the nearest, in an order given by rendezvous hashing over the
// node's zone, so that the nodes of a zone make the same selection. A node whose requests wait can
// raise its limits up to all members.
//
// Invariants: objects that a node knows stay known, with every change, until they are deleted or the
// node lists the state again. A node knows some usable members of every group that has any. All objects
// other than machines and replicas are sent to every node.
package subset
