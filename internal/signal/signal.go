// Package signal wakes any number of waiters when something changes.
package signal

import "sync"

// Broadcast is a repeatable wake-up. The zero value is not usable; see New.
type Broadcast struct {
	mutex   sync.Mutex
	channel chan struct{}
}

// New returns a broadcast.
func New() *Broadcast {
	return &Broadcast{channel: make(chan struct{})}
}

// Wait returns a channel that is closed at the next Notify. Take it before
// looking at what is watched, so that no change is missed in between.
func (b *Broadcast) Wait() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.channel
}

// Notify wakes everyone who waits.
func (b *Broadcast) Notify() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	close(b.channel)
	b.channel = make(chan struct{})
}
