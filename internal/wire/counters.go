package wire

import (
	"sync/atomic"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// maxKinds is more than the largest field number of an envelope's body.
const maxKinds = 32

// Counters counts traffic by kind of message; one may be shared by many
// connections.
type Counters struct {
	kinds [maxKinds]kindCounters
}

type kindCounters struct {
	bytesSent, bytesReceived       atomic.Uint64
	messagesSent, messagesReceived atomic.Uint64
}

// KindTraffic is the traffic of one kind of message since the start.
type KindTraffic struct {
	// Kind is the name of the envelope's body, such as "node_report".
	Kind                           string
	BytesSent, BytesReceived       uint64
	MessagesSent, MessagesReceived uint64
}

var bodyField = (&wirepb.Envelope{}).ProtoReflect().Descriptor().Oneofs().ByName("body")

func (c *Counters) of(envelope *wirepb.Envelope) *kindCounters {
	field := envelope.ProtoReflect().WhichOneof(bodyField)
	if field == nil || field.Number() >= maxKinds {
		return &c.kinds[0]
	}
	return &c.kinds[field.Number()]
}

func (c *Counters) sent(envelope *wirepb.Envelope, size int) {
	counters := c.of(envelope)
	counters.bytesSent.Add(uint64(size))
	counters.messagesSent.Add(1)
}

func (c *Counters) received(envelope *wirepb.Envelope, size int) {
	counters := c.of(envelope)
	counters.bytesReceived.Add(uint64(size))
	counters.messagesReceived.Add(1)
}

// Traffic lists the kinds of messages that were sent or received.
func (c *Counters) Traffic() []KindTraffic {
	var listed []KindTraffic
	for number := range c.kinds {
		counters := &c.kinds[number]
		traffic := KindTraffic{
			Kind:      kindName(number),
			BytesSent: counters.bytesSent.Load(), BytesReceived: counters.bytesReceived.Load(),
			MessagesSent: counters.messagesSent.Load(), MessagesReceived: counters.messagesReceived.Load(),
		}
		if traffic.MessagesSent+traffic.MessagesReceived > 0 {
			listed = append(listed, traffic)
		}
	}
	return listed
}

func kindName(number int) string {
	field := bodyField.Fields().ByNumber(protoreflect.FieldNumber(number))
	if field == nil {
		return "other"
	}
	return string(field.Name())
}
