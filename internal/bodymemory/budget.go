// Package bodymemory bounds the memory of the bodies that a process holds at the same time. Invariant: what was reserved and not
// released never exceeds the limit, and large bodies leave a part of it to short ones.
package bodymemory

import (
	"io"
	"sync/atomic"

	"github.com/weldline/weldline/internal/fault"
)

// Share is the share of a process's memory that bodies may take together. The heap grows beyond what is in use before it is
// collected.
const Share = 3.0 / 8

const (
	// largeBytes is the length from which bodies leave the rest of largeShare to shorter ones.
	largeBytes = 256 << 10
	largeShare = 7.0 / 8
	// firstBytes is what is reserved first for a body of unknown length.
	firstBytes = 4 << 10
)

var (
	// ErrTooLarge is returned for a body that is longer than allowed.
	ErrTooLarge = fault.Refused.New("the body has more bytes than are allowed")
	// ErrExhausted is returned if there is no memory for a body.
	ErrExhausted = fault.Refused.New("this node holds as many bodies as it has memory for")
)

// Budget is the memory that bodies may take together. It is safe for concurrent use.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// New returns the budget of a process with so many bytes of memory; there is no bound if it is 0.
func New(processBytes int64) *Budget {
	return &Budget{limit: int64(Share * float64(processBytes))}
}

// Reserve reserves bytes for a body that then has a total, and reports whether there was room.
func (b *Budget) Reserve(bytes, total int64) bool {
	limit := b.limit
	if total > largeBytes {
		limit = int64(largeShare * float64(limit))
	}
	if b.held.Add(bytes) <= limit || b.limit == 0 {
		return true
	}
	b.held.Add(-bytes)
	return false
}

// Release returns reserved bytes.
func (b *Budget) Release(bytes int64) { b.held.Add(-bytes) }

// Held returns the number of reserved bytes.
func (b *Budget) Held() int64 { return b.held.Load() }

// ReadAll reads a body of unknown length, of at most limit bytes. What it has reserved must be released, also after an error:
// ErrTooLarge, ErrExhausted, or one of the reader.
func (b *Budget) ReadAll(reader io.Reader, limit int64) (body []byte, reserved int64, err error) {
	if !b.Reserve(firstBytes, firstBytes) {
		return nil, 0, ErrExhausted
	}
	body, reserved = make([]byte, 0, firstBytes), firstBytes
	for {
		count, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		switch {
		case int64(len(body)) > limit:
			return nil, reserved, ErrTooLarge
		case err == io.EOF:
			return body, reserved, nil
		case err != nil:
			return nil, reserved, err
		case len(body) < cap(body):
			continue
		}
		if !b.Reserve(reserved, 2*reserved) {
			return nil, reserved, ErrExhausted
		}
		reserved *= 2
		body = append(make([]byte, 0, reserved), body...)
	}
}
