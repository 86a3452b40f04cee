// Package node assembles a weldline process from its settings: it opens the data directory, starts the
// roles, and stops them in an order that lets requests in flight finish.
package node
