// Package emulator runs stand-ins for the systems around weldline on TCP: model engines, generic
// backends, the weight store and the machine list.
//
// They reproduce the failure modes of the real systems, each configurable, and audit what weldline
// does to them: memory overcommits, work sent to leaving machines, duplicate runs and streams that
// nobody reads.
package emulator
