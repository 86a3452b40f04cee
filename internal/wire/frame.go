package wire

import (
	"bufio"
	"encoding/binary"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// MaxFrameBytes bounds the length of a frame; snapshots are the largest messages.
	MaxFrameBytes = 64 << 20
	headerBytes   = 4
)

// WriteFrame writes one envelope and returns the number of bytes of its frame.
func WriteFrame(writer *bufio.Writer, envelope *wirepb.Envelope) (int, error) {
	size := proto.Size(envelope)
	if size > MaxFrameBytes {
		return 0, fault.Protocol.New("frame of %d bytes exceeds the limit of %d", size, MaxFrameBytes)
	}
	buffer := make([]byte, headerBytes, headerBytes+size)
	binary.BigEndian.PutUint32(buffer, uint32(size))
	buffer, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buffer, envelope)
	if err != nil {
		return 0, fault.Protocol.Wrap(err, "encoding a frame")
	}
	if _, err := writer.Write(buffer); err != nil {
		return 0, fault.Unavailable.Wrap(err, "writing a frame")
	}
	return len(buffer), nil
}

// ReadFrame reads one envelope and returns the number of bytes of its frame.
func ReadFrame(reader io.Reader) (*wirepb.Envelope, int, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, 0, fault.Unavailable.Wrap(err, "reading a frame header")
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return nil, 0, fault.Protocol.New("frame of %d bytes exceeds the limit of %d", size, MaxFrameBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(reader, body); err != nil {
		return nil, 0, fault.Unavailable.Wrap(err, "reading a frame body")
	}
	envelope := &wirepb.Envelope{}
	if err := proto.Unmarshal(body, envelope); err != nil {
		return nil, 0, fault.Protocol.Wrap(err, "decoding a frame")
	}
	return envelope, headerBytes + int(size), nil
}
