package feed

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// listPartBytes is small enough that digests can be sent between the parts on a slow link: a part
	// takes a twentieth of a second at 10 Mbit/s.
	listPartBytes       = 64 << 10
	maxDecodedListBytes = 1 << 30
	// maxCachedListLag is the number of later changes after which a cached list is replaced.
	maxCachedListLag = 4 * maxEventsPerBatch
)

// listCache caches the encoded list of the whole state, to avoid encoding it for each watcher when
// many reconnect at the same time.
type listCache struct {
	mutex    sync.Mutex
	revision uint64
	parts    []*wirepb.WatchListPart
}

// get returns the parts of a list and its revision. The backend still has the changes after that
// revision.
func (l *listCache) get(backend Backend) ([]*wirepb.WatchListPart, uint64, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	changes := backend.ChangesAfter(l.revision)
	if l.parts != nil && !changes.Reset && len(changes.Events) <= maxCachedListLag {
		return l.parts, l.revision, nil
	}
	if !changes.Reset {
		changes = backend.ChangesAfter(0)
	}
	parts, err := encodeList(changes)
	if err != nil {
		return nil, 0, err
	}
	l.parts, l.revision = parts, changes.Revision
	return l.parts, l.revision, nil
}

// encodeList compresses a list and splits it into parts.
func encodeList(changes Changes) ([]*wirepb.WatchListPart, error) {
	encoded, err := proto.Marshal(&wirepb.WatchBatch{Events: changes.Events, Revision: changes.Revision})
	if err != nil {
		return nil, fault.Internal.Wrap(err, "encoding a list")
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, fault.Internal.Wrap(err, "compressing a list")
	}
	if _, err := writer.Write(encoded); err != nil {
		return nil, fault.Internal.Wrap(err, "compressing a list")
	}
	if err := writer.Close(); err != nil {
		return nil, fault.Internal.Wrap(err, "compressing a list")
	}
	var parts []*wirepb.WatchListPart
	for remaining := compressed.Bytes(); ; {
		length := min(len(remaining), listPartBytes)
		part := &wirepb.WatchListPart{Revision: changes.Revision, Content: remaining[:length], More: length < len(remaining)}
		parts = append(parts, part)
		if !part.GetMore() {
			return parts, nil
		}
		remaining = remaining[length:]
	}
}

// listDecoder reassembles lists from their parts. It belongs to one connection.
type listDecoder struct {
	revision   uint64
	compressed []byte
}

// add returns the list and done once the last part has been added.
func (d *listDecoder) add(part *wirepb.WatchListPart) (changes Changes, done bool, err error) {
	if part.GetRevision() != d.revision {
		d.revision, d.compressed = part.GetRevision(), nil
	}
	d.compressed = append(d.compressed, part.GetContent()...)
	if part.GetMore() {
		return Changes{}, false, nil
	}
	compressed := d.compressed
	d.compressed = nil
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDecodedListBytes))
	if err != nil {
		return Changes{}, false, fault.Protocol.Wrap(err, "decompressing a list")
	}
	batch := &wirepb.WatchBatch{}
	if err := proto.Unmarshal(encoded, batch); err != nil {
		return Changes{}, false, fault.Protocol.Wrap(err, "decoding a list")
	}
	return Changes{Events: batch.GetEvents(), Revision: batch.GetRevision(), Reset: true}, true, nil
}
