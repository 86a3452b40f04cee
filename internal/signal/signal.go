// Package signal provides a broadcast notification for any number of waiters.
package signal

import "sync"

// Broadcast notifies all waiters, any number of times. The zero value is not usable;
// see New.
type Broadcast struct {
	mutex   sync.Mutex
	channel chan struct{}
}

// New returns a broadcast without waiters, ready for use by any number of goroutines.
func New() *Broadcast {
	return &Broadcast{channel: make(chan struct{})}
}

// Wait returns a channel that the next Notify closes. Call it before reading the
// state that Notify announces, so that no change in between is missed.
func (b *Broadcast) Wait() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.channel
}

// Notify wakes all waiters.
func (b *Broadcast) Notify() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	close(b.channel)
	b.channel = make(chan struct{})
}
