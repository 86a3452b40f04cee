// Package node assembles a weldline process from its settings: it opens the
// data folder, starts the roles, and stops them in the order that cuts
// nothing in flight.
package node
