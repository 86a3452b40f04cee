package enginemodel

import (
	"sort"

	"github.com/weldline/weldline/api/engine"
)

// The storage tiers of a checkpoint, from fast to slow.
const (
	TierMemory = "memory"
	TierDisk   = "disk"
	TierRemote = "remote"
)

// Tiers describes the read bandwidths and cache sizes of a machine.
type Tiers struct {
	MemoryBytesPerSecond float64
	DiskBytesPerSecond   float64
	MemoryCacheBytes     int64
	DiskCacheBytes       int64
}

// CheckpointCache is an LRU cache of checkpoints in host memory and on disk.
type CheckpointCache struct {
	tiers  Tiers
	memory lruSet
	disk   lruSet
}

// NewCheckpointCache returns an empty cache.
func NewCheckpointCache(tiers Tiers) *CheckpointCache {
	return &CheckpointCache{
		tiers:  tiers,
		memory: lruSet{limit: tiers.MemoryCacheBytes},
		disk:   lruSet{limit: tiers.DiskCacheBytes},
	}
}

// Add caches a loaded checkpoint in both tiers.
func (c *CheckpointCache) Add(checkpoint string, bytes int64) {
	c.memory.add(checkpoint, bytes)
	c.disk.add(checkpoint, bytes)
}

// ClearMemory empties the memory tier, as when the engine process exits.
func (c *CheckpointCache) ClearMemory() {
	c.memory = lruSet{limit: c.tiers.MemoryCacheBytes}
}

// Tier returns the fastest tier that holds a checkpoint.
func (c *CheckpointCache) Tier(checkpoint string) string {
	switch {
	case c.memory.has(checkpoint):
		return TierMemory
	case c.disk.has(checkpoint):
		return TierDisk
	}
	return TierRemote
}

// BytesPerSecond returns the read bandwidth of a local tier, or 0 for the remote one.
func (c *CheckpointCache) BytesPerSecond(tier string) float64 {
	switch tier {
	case TierMemory:
		return c.tiers.MemoryBytesPerSecond
	case TierDisk:
		return c.tiers.DiskBytesPerSecond
	}
	return 0
}

// List returns the cached checkpoints, sorted by name.
func (c *CheckpointCache) List() []engine.CheckpointReport {
	var listed []engine.CheckpointReport
	for _, entry := range c.disk.entries {
		listed = append(listed, engine.CheckpointReport{Checkpoint: entry.name, Tier: c.Tier(entry.name)})
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].Checkpoint < listed[j].Checkpoint })
	return listed
}

// lruSet is an LRU set with a limit in bytes. Entries are sorted from least to most
// recently used.
type lruSet struct {
	limit   int64
	used    int64
	entries []lruEntry
}

type lruEntry struct {
	name  string
	bytes int64
}

func (l *lruSet) has(name string) bool {
	for _, entry := range l.entries {
		if entry.name == name {
			return true
		}
	}
	return false
}

func (l *lruSet) add(name string, bytes int64) {
	for position, entry := range l.entries {
		if entry.name == name {
			l.entries = append(l.entries[:position], l.entries[position+1:]...)
			l.used -= entry.bytes
			break
		}
	}
	if bytes > l.limit {
		return
	}
	l.entries = append(l.entries, lruEntry{name, bytes})
	l.used += bytes
	for l.used > l.limit {
		l.used -= l.entries[0].bytes
		l.entries = l.entries[1:]
	}
}
