package emulator

import (
	"sort"

	"github.com/weldline/weldline/api/engine"
)

// The tiers by name.
const (
	tierMemory = "memory"
	tierDisk   = "disk"
	tierRemote = "remote"
)

// checkpointCache holds checkpoints in host memory and on disk, the least
// recently used going first.
type checkpointCache struct {
	config EngineConfig
	memory lruBytes
	disk   lruBytes
}

func newCheckpointCache(config EngineConfig) *checkpointCache {
	return &checkpointCache{
		config: config,
		memory: lruBytes{limit: config.MemoryCacheBytes},
		disk:   lruBytes{limit: config.DiskCacheBytes},
	}
}

func (c *checkpointCache) add(checkpoint string, bytes int64) {
	c.memory.add(checkpoint, bytes)
	c.disk.add(checkpoint, bytes)
}

func (c *checkpointCache) dropMemory() {
	c.memory = lruBytes{limit: c.config.MemoryCacheBytes}
}

func (c *checkpointCache) tier(checkpoint string) string {
	switch {
	case c.memory.has(checkpoint):
		return tierMemory
	case c.disk.has(checkpoint):
		return tierDisk
	}
	return tierRemote
}

// speed returns the bytes per second of a tier of the machine itself, or 0.
func (c *checkpointCache) speed(tier string) float64 {
	switch tier {
	case tierMemory:
		return c.config.MemoryBytesPerSecond
	case tierDisk:
		return c.config.DiskBytesPerSecond
	}
	return 0
}

func (c *checkpointCache) list() []engine.CheckpointReport {
	var listed []engine.CheckpointReport
	for _, entry := range c.disk.entries {
		listed = append(listed, engine.CheckpointReport{Checkpoint: entry.name, Tier: c.tier(entry.name)})
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
