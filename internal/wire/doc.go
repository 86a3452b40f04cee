// Package wire frames protobuf messages on TCP connections between weldline
// processes.
//
// A frame is a 4-byte big-endian length followed by one Envelope. Lengths over
// the limit are refused before anything is allocated, so that a broken or
// hostile peer can't exhaust memory. The first frame each way is a Hello and
// its HelloReply; processes of other protocol versions or clusters are refused
// there, with the reason in words.
package wire
