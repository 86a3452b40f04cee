// Package soak injects faults into running processes and checks what clients observed.
//
// A plan of faults is drawn from a seed. Connections pass through loopback proxies that block, delay and
// reset them, and processes get signals. Callers, operators and machines record a History, in which Judge
// finds violated invariants. The same seed always yields the same plan; its effects vary from run to run.
package soak
