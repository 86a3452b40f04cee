// Package wire frames protobuf messages on TCP connections between weldline processes.
//
// A frame is a 4-byte big-endian length and one Envelope. The length is checked against a limit
// before memory is allocated. Each side first sends one handshake frame: the client a Hello, the
// server a HelloReply, which rejects clients of another protocol version or cluster with a reason.
package wire
