package wire

import (
	"strings"
	"sync/atomic"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// maxBodies is more than the largest field number of an envelope's body.
	maxBodies = 32
	// maxRaftTypes is more than the largest type of a raft message.
	maxRaftTypes = 16
	maxKinds     = maxBodies + maxRaftTypes
	nearnesses   = int(places.OtherRegion) + 1
)

// Counters counts traffic by kind of message and by how near the other side is: bytes between
// zones and regions are paid for. One may be shared by many connections; the zero value is a
// process's that knows of no zones.
type Counters struct {
	position places.Location
	near     [nearnesses]placeCounters
	// compressors counts the compressed streams that go out at present.
	compressors atomic.Int64
}

// NewCounters returns the counters of a process at a position, which are all zero.
func NewCounters(position places.Location) *Counters {
	return &Counters{position: position}
}

// placeCounters counts the traffic with processes of one nearness.
type placeCounters struct {
	kinds [maxKinds]kindCounters
	// networkSent and networkReceived count bytes as they go over the network.
	networkSent, networkReceived atomic.Uint64
}

type kindCounters struct {
	bytesSent, bytesReceived       atomic.Uint64
	messagesSent, messagesReceived atomic.Uint64
}

// NetworkTraffic is how many bytes went over the network, compressed, to and from processes of
// one nearness since the start.
type NetworkTraffic struct {
	Proximity      places.Proximity
	Sent, Received uint64
}

// Network lists the traffic by nearness.
func (c *Counters) Network() []NetworkTraffic {
	listed := make([]NetworkTraffic, 0, nearnesses)
	for nearness := range c.near {
		counters := &c.near[nearness]
		listed = append(listed, NetworkTraffic{
			Proximity: places.Proximity(nearness),
			Sent:      counters.networkSent.Load(), Received: counters.networkReceived.Load(),
		})
	}
	return listed
}

// KindTraffic is the traffic of one kind of message with processes of one nearness, since the
// start. Bytes are those of the messages before they are compressed.
type KindTraffic struct {
	// Kind is the name of the envelope's body, such as "node_report"; messages of the log are
	// told apart by their type, such as "raft_heartbeat".
	Kind                           string
	Proximity                      places.Proximity
	BytesSent, BytesReceived       uint64
	MessagesSent, MessagesReceived uint64
}

var bodyField = (&wirepb.Envelope{}).ProtoReflect().Descriptor().Oneofs().ByName("body")

// with returns the counters for connections to a zone.
func (c *Counters) with(zone string) *placeCounters {
	return &c.near[c.position.ProximityOf(zone)]
}

func (c *placeCounters) of(envelope *wirepb.Envelope) *kindCounters {
	if raft := envelope.GetRaft(); raft != nil && raft.GetType() < maxRaftTypes {
		return &c.kinds[maxBodies+int(raft.GetType())]
	}
	field := envelope.ProtoReflect().WhichOneof(bodyField)
	if field == nil || field.Number() >= maxBodies {
		return &c.kinds[0]
	}
	return &c.kinds[field.Number()]
}

func (c *placeCounters) sent(envelope *wirepb.Envelope, size int) {
	counters := c.of(envelope)
	counters.bytesSent.Add(uint64(size))
	counters.messagesSent.Add(1)
}

func (c *placeCounters) received(envelope *wirepb.Envelope, size int) {
	counters := c.of(envelope)
	counters.bytesReceived.Add(uint64(size))
	counters.messagesReceived.Add(1)
}

// Traffic lists the kinds of messages that were sent or received, those of the nearest first.
func (c *Counters) Traffic() []KindTraffic {
	var listed []KindTraffic
	for nearness := range c.near {
		for number := range c.near[nearness].kinds {
			traffic := c.near[nearness].kinds[number].read()
			if traffic.MessagesSent+traffic.MessagesReceived == 0 {
				continue
			}
			traffic.Kind, traffic.Proximity = kindName(number), places.Proximity(nearness)
			listed = append(listed, traffic)
		}
	}
	return listed
}

func (c *kindCounters) read() KindTraffic {
	return KindTraffic{
		BytesSent: c.bytesSent.Load(), BytesReceived: c.bytesReceived.Load(),
		MessagesSent: c.messagesSent.Load(), MessagesReceived: c.messagesReceived.Load(),
	}
}

func kindName(number int) string {
	if number >= maxBodies {
		return strings.ToLower(strings.Replace(wirepb.RaftMessageType(number-maxBodies).String(), "RAFT_MESSAGE_TYPE", "RAFT", 1))
	}
	field := bodyField.Fields().ByNumber(protoreflect.FieldNumber(number))
	if field == nil {
		return "other"
	}
	return string(field.Name())
}
