package wire

import (
	"strings"
	"sync/atomic"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// maxBodies is an exclusive bound on the field numbers of an envelope's body.
	maxBodies = 32
	// maxRaftTypes is an exclusive bound on the types of Raft messages.
	maxRaftTypes   = 16
	maxKinds       = maxBodies + maxRaftTypes
	proximityCount = int(places.OtherRegion) + 1
)

// Counters counts traffic by kind of message and by the proximity of the peer, because providers
// charge for traffic between zones and regions. Connections share it; the zero value is ready to
// use for a process without zones.
type Counters struct {
	location    places.Location
	byProximity [proximityCount]peerCounters
	// compressors is the number of outgoing streams that are compressed.
	compressors atomic.Int64
}

// NewCounters returns the counters of a process in the given zone and region.
func NewCounters(location places.Location) *Counters {
	return &Counters{location: location}
}

// peerCounters counts the traffic with peers of one proximity.
type peerCounters struct {
	kinds [maxKinds]kindCounters
	// networkSent and networkReceived count bytes after compression.
	networkSent, networkReceived atomic.Uint64
}

type kindCounters struct {
	bytesSent, bytesReceived       atomic.Uint64
	messagesSent, messagesReceived atomic.Uint64
}

// NetworkTraffic is the number of bytes, after compression, exchanged with peers of one proximity
// since the process started.
type NetworkTraffic struct {
	Proximity      places.Proximity
	Sent, Received uint64
}

// Network returns the traffic after compression by proximity, the nearest first.
func (c *Counters) Network() []NetworkTraffic {
	listed := make([]NetworkTraffic, 0, proximityCount)
	for proximity := range c.byProximity {
		counters := &c.byProximity[proximity]
		listed = append(listed, NetworkTraffic{
			Proximity: places.Proximity(proximity),
			Sent:      counters.networkSent.Load(), Received: counters.networkReceived.Load(),
		})
	}
	return listed
}

// KindTraffic is the traffic of one kind of message with peers of one proximity since the process
// started. Bytes are counted before compression.
type KindTraffic struct {
	// Kind is the field name of the envelope's body, such as "node_report", or for a Raft message
	// its type, such as "raft_heartbeat".
	Kind                           string
	Proximity                      places.Proximity
	BytesSent, BytesReceived       uint64
	MessagesSent, MessagesReceived uint64
}

var bodyField = (&wirepb.Envelope{}).ProtoReflect().Descriptor().Oneofs().ByName("body")

// forZone returns the counters for peers in a zone.
func (c *Counters) forZone(zone string) *peerCounters {
	return &c.byProximity[c.location.ProximityOf(zone)]
}

func (c *peerCounters) forEnvelope(envelope *wirepb.Envelope) *kindCounters {
	if raft := envelope.GetRaft(); raft != nil && raft.GetType() < maxRaftTypes {
		return &c.kinds[maxBodies+int(raft.GetType())]
	}
	field := envelope.ProtoReflect().WhichOneof(bodyField)
	if field == nil || field.Number() >= maxBodies {
		return &c.kinds[0]
	}
	return &c.kinds[field.Number()]
}

func (c *peerCounters) countSent(envelope *wirepb.Envelope, size int) {
	counters := c.forEnvelope(envelope)
	counters.bytesSent.Add(uint64(size))
	counters.messagesSent.Add(1)
}

func (c *peerCounters) countReceived(envelope *wirepb.Envelope, size int) {
	counters := c.forEnvelope(envelope)
	counters.bytesReceived.Add(uint64(size))
	counters.messagesReceived.Add(1)
}

// Traffic returns the kinds of messages that were sent or received, sorted by proximity.
func (c *Counters) Traffic() []KindTraffic {
	var listed []KindTraffic
	for proximity := range c.byProximity {
		for number := range c.byProximity[proximity].kinds {
			traffic := c.byProximity[proximity].kinds[number].read()
			if traffic.MessagesSent+traffic.MessagesReceived == 0 {
				continue
			}
			traffic.Kind, traffic.Proximity = kindName(number), places.Proximity(proximity)
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
