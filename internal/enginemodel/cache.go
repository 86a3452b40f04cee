package enginemodel

import (
	"sort"

	"github.com/weldline/weldline/api/engine"
)

// The tiers in which a machine may have a checkpoint, from fast to slow.
const (
	TierMemory = "memory"
	TierDisk   = "disk"
	TierRemote = "remote"
)

// Tiers describes the caches of a machine. Speeds are in bytes a second.
type Tiers struct {
	MemoryBytesPerSecond float64
	DiskBytesPerSecond   float64
	MemoryCacheBytes     int64
	DiskCacheBytes       int64
}

// CheckpointCache holds checkpoints in host memory and on disk, the least
// recently used going first.
type CheckpointCache struct {
	tiers  Tiers
	memory lruBytes
	disk   lruBytes
}

// NewCheckpointCache returns an empty cache.
func NewCheckpointCache(tiers Tiers) *CheckpointCache {
	return &CheckpointCache{
		tiers:  tiers,
		memory: lruBytes{limit: tiers.MemoryCacheBytes},
		disk:   lruBytes{limit: tiers.DiskCacheBytes},
	}
}

// Add keeps a checkpoint that was loaded.
func (c *CheckpointCache) Add(checkpoint string, bytes int64) {
	c.memory.add(checkpoint, bytes)
	c.disk.add(checkpoint, bytes)
}

// ClearMemory empties the memory tier, as the end of the engine does.
func (c *CheckpointCache) ClearMemory() {
	c.memory = lruBytes{limit: c.tiers.MemoryCacheBytes}
}

// Tier returns the fastest tier that has a checkpoint.
func (c *CheckpointCache) Tier(checkpoint string) string {
	switch {
	case c.memory.has(checkpoint):
		return TierMemory
	case c.disk.has(checkpoint):
		return TierDisk
	}
	return TierRemote
}

// BytesPerSecond returns the bytes per second of a tier of the machine itself, or 0.
func (c *CheckpointCache) BytesPerSecond(tier string) float64 {
	switch tier {
	case TierMemory:
		return c.tiers.MemoryBytesPerSecond
	case TierDisk:
		return c.tiers.DiskBytesPerSecond
	}
	return 0
}

// List returns the cached checkpoints by name.
func (c *CheckpointCache) List() []engine.CheckpointReport {
	var listed []engine.CheckpointReport
	for _, entry := range c.disk.entries {
		listed = append(listed, engine.CheckpointReport{Checkpoint: entry.name, Tier: c.Tier(entry.name)})
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].Checkpoint < listed[j].Checkpoint })
	return listed
}

// lruBytes is a set bounded by bytes, oldest first.
type lruBytes struct {
	limit   int64
	used    int64
	entries []lruEntry
}

type lruEntry struct {
	name  string
	bytes int64
}

func (l *lruBytes) has(name string) bool {
	for _, entry := range l.entries {
		if entry.name == name {
			return true
		}
	}
	return false
}

func (l *lruBytes) add(name string, bytes int64) {
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
