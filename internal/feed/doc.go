// Package feed distributes the control plane's state to nodes and carries their reports and proposals
// to the leader. Servers form a tree: control nodes and relays serve state to clients, which fail over
// between them. A client applies changes in order of revision and ignores older ones, so its state
// never reverts.
package feed
