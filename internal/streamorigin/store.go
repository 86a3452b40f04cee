package streamorigin

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// MaxRecords bounds the records of a Store.
const MaxRecords = 32 << 10

// Key identifies a stream by the attempt that began it.
type Key [16]byte

// KeyOf returns the key of the stream that an attempt of a tenant began. Callers choose the IDs of their
// attempts, so the key separates tenants and can't be made to collide.
func KeyOf(tenant, attempt string) Key {
	hash := sha256.New()
	_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(tenant))))
	_, _ = hash.Write([]byte(tenant))
	_, _ = hash.Write([]byte(attempt))
	return Key(hash.Sum(nil)[:len(Key{})])
}

// Origin is where a stream began.
type Origin struct {
	Pool string
	// Software is the version of the worker's software; it is not empty.
	Software string
}

// Record is the origin of one stream.
type Record struct {
	Key    Key
	Origin Origin
	// Sends is the number of workers that the attempt had been sent to before. The last one is the origin:
	// an attempt is sent to another worker only as long as it has brought no event.
	Sends uint32
	// Expires is when the stream can't be resumed any more.
	Expires time.Time
}

// entry is a stored record with its position in the heap.
type entry struct {
	Record
	position int
}

// Store holds records until they expire. When it is full, it drops those that expire first. It is not safe
// for concurrent use.
type Store struct {
	entries map[Key]*entry
	// byExpiry is a heap of the entries.
	byExpiry expiryHeap
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{entries: map[Key]*entry{}} }

// Add stores a record, unless it is older than the stored one of the same stream. It returns the number of
// records that were dropped before they had expired.
func (s *Store) Add(now time.Time, record Record) (evicted int) {
	s.dropExpired(now)
	stored := s.entries[record.Key]
	switch {
	case stored == nil:
		added := &entry{Record: record}
		s.entries[record.Key] = added
		heap.Push(&s.byExpiry, added)
	case record.Origin == stored.Origin:
		stored.Sends = max(stored.Sends, record.Sends)
		if record.Expires.After(stored.Expires) {
			stored.Expires = record.Expires
			heap.Fix(&s.byExpiry, stored.position)
		}
	case record.Sends > stored.Sends:
		stored.Record = record
		heap.Fix(&s.byExpiry, stored.position)
	}
	for len(s.entries) > MaxRecords {
		s.dropFirst()
		evicted++
	}
	return evicted
}

// Lookup returns the record of a stream.
func (s *Store) Lookup(now time.Time, key Key) (Record, bool) {
	stored := s.entries[key]
	if stored == nil || !now.Before(stored.Expires) {
		return Record{}, false
	}
	return stored.Record, true
}

// Records returns the records that have not expired.
func (s *Store) Records(now time.Time) []Record {
	s.dropExpired(now)
	records := make([]Record, 0, len(s.entries))
	for _, stored := range s.byExpiry {
		records = append(records, stored.Record)
	}
	return records
}

// Len returns the number of records.
func (s *Store) Len() int { return len(s.entries) }

func (s *Store) dropExpired(now time.Time) {
	for len(s.byExpiry) > 0 && !now.Before(s.byExpiry[0].Expires) {
		s.dropFirst()
	}
}

func (s *Store) dropFirst() {
	first := heap.Pop(&s.byExpiry).(*entry)
	delete(s.entries, first.Key)
}

// expiryHeap implements heap.Interface; the entry that expires first is at the top.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].Expires.Before(h[j].Expires) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

func (h *expiryHeap) Push(value any) {
	added := value.(*entry)
	added.position = len(*h)
	*h = append(*h, added)
}

func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return removed
}
