package wire_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

func frame(tb testing.TB, envelope *wirepb.Envelope) []byte {
	tb.Helper()
	var buffer bytes.Buffer
	writer := bufio.NewWriter(&buffer)
	if _, err := wire.WriteFrame(writer, envelope); err != nil {
		tb.Fatal(err)
	}
	if err := writer.Flush(); err != nil {
		tb.Fatal(err)
	}
	return buffer.Bytes()
}

func TestInvalidFramesAreRejected(t *testing.T) {
	good := frame(t, &wirepb.Envelope{RequestId: 7})
	huge := binary.BigEndian.AppendUint32(nil, wire.MaxFrameBytes+1)
	garbage := append(binary.BigEndian.AppendUint32(nil, 3), 0xff, 0xff, 0xff)
	for name, content := range map[string][]byte{
		"nothing": nil, "half a header": good[:2], "half a body": good[:len(good)-1], "too large": huge, "no protobuf": garbage,
	} {
		if envelope, _, err := wire.ReadFrame(bytes.NewReader(content)); err == nil {
			t.Errorf("%s: %v", name, envelope)
		} else if !fault.Is(err, fault.Protocol) && !fault.Is(err, fault.Unavailable) {
			t.Errorf("%s: %v is not a typed error", name, err)
		}
	}
}

// FuzzReadFrame reads arbitrary bytes. It must not panic, and an envelope that is read must survive
// a round trip.
func FuzzReadFrame(f *testing.F) {
	f.Add(frame(f, &wirepb.Envelope{RequestId: 7}))
	f.Add(frame(f, &wirepb.Envelope{Body: &wirepb.Envelope_Raft{Raft: &wirepb.RaftMessage{Term: 3}}}))
	f.Fuzz(func(t *testing.T, content []byte) {
		envelope, size, err := wire.ReadFrame(bytes.NewReader(content))
		if err != nil {
			return
		}
		if size > len(content) {
			t.Fatalf("%d bytes read of %d", size, len(content))
		}
		again, _, err := wire.ReadFrame(bytes.NewReader(frame(t, envelope)))
		if err != nil || !proto.Equal(envelope, again) {
			t.Errorf("%v, then %v, %v", envelope, again, err)
		}
	})
}
