package resourceapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/feed"
)

// EventType is the type of a WatchEvent.
type EventType string

// The types of watch events.
const (
	EventChanged EventType = "CHANGED"
	EventDeleted EventType = "DELETED"
	// EventBookmark carries no resource. It advances the client's position.
	EventBookmark EventType = "BOOKMARK"
)

// WatchEvent is one line of a watch response.
type WatchEvent struct {
	Type EventType `json:"type"`
	// ResourceVersion is the position after this event.
	ResourceVersion string       `json:"resourceVersion"`
	Resource        *v1.Resource `json:"resource,omitempty"`
}

// watch streams the changes after a resourceVersion. If those changes are no
// longer available, it responds with 410 and the client has to list again.
func (a *API) watch(writer http.ResponseWriter, request *http.Request) error {
	after, err := v1.ParseRevision(request.URL.Query().Get("after"))
	if err != nil || after == nil {
		return fault.InvalidField("after", "must be a resourceVersion")
	}
	kind := v1.Kind(request.URL.Query().Get("kind"))
	if a.store.ChangesAfter(*after).Reset {
		return fault.Expired.New("resourceVersion %d is too old; list again", *after)
	}
	writer.Header().Set("Content-Type", "application/jsonl")
	stream := &watchStream{writer: writer, encoder: json.NewEncoder(writer), kind: kind, position: *after}
	stream.flush()
	ticker := time.NewTicker(bookmarkInterval)
	defer ticker.Stop()
	for {
		changed := a.store.Changed()
		changes := a.store.ChangesAfter(stream.position)
		if changes.Reset || stream.send(changes) != nil {
			return nil // The client reconnects at its last position.
		}
		select {
		case <-changed:
		case <-ticker.C:
			if stream.bookmark() != nil {
				return nil
			}
		case <-request.Context().Done():
			return nil
		}
	}
}

type watchStream struct {
	writer   http.ResponseWriter
	encoder  *json.Encoder
	kind     v1.Kind
	position uint64
}

func (s *watchStream) flush() {
	_ = http.NewResponseController(s.writer).Flush()
}

func (s *watchStream) send(changes feed.Changes) error {
	for _, event := range changes.Events {
		object := event.GetObject()
		if s.kind != "" && v1.Kind(object.GetKind()) != s.kind {
			continue
		}
		resource := toResource(object)
		line := WatchEvent{Type: EventChanged, ResourceVersion: resource.Metadata.ResourceVersion, Resource: &resource}
		if event.GetDeleted() {
			line.Type = EventDeleted
		}
		if err := s.encoder.Encode(line); err != nil {
			return fault.Unavailable.Wrap(err, "writing a watch event")
		}
	}
	if changes.Revision > s.position {
		s.position = changes.Revision
		s.flush()
	}
	return nil
}

func (s *watchStream) bookmark() error {
	line := WatchEvent{Type: EventBookmark, ResourceVersion: strconv.FormatUint(s.position, 10)}
	if err := s.encoder.Encode(line); err != nil {
		return fault.Unavailable.Wrap(err, "writing a bookmark")
	}
	s.flush()
	return nil
}
