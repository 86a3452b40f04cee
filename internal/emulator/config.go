package emulator

import (
	"bytes"
	"math"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/weldline/weldline/internal/enginemodel"
	"github.com/weldline/weldline/internal/fault"
)

// Config describes the emulated systems.
type Config struct {
	// Host is the IP address to listen on. Default 127.0.0.1.
	Host string `yaml:"host"`
	// Seed of the fault injection. Default 1.
	Seed int64 `yaml:"seed"`

	Machines MachinesConfig  `yaml:"machines"`
	Engine   EngineConfig    `yaml:"engine"`
	Store    StoreConfig     `yaml:"store"`
	Backends []BackendConfig `yaml:"backends"`
	Faults   Faults          `yaml:"faults"`
	Grey     GreyConfig      `yaml:"grey"`
}

// GreyConfig describes grey failures: workers that fail part of their requests while their connections
// and reports stay healthy.
type GreyConfig struct {
	// Share is the fraction of the engines, and of the workers of each backend pool, that are grey,
	// rounded up. Default 0.
	Share float64 `yaml:"share"`
	// Errors is the fraction of their requests that grey workers fail. Default 0.
	Errors float64 `yaml:"errors"`
}

// workerCount returns how many of the given workers are grey.
func (g GreyConfig) workerCount(workers int) int {
	return int(math.Ceil(g.Share * float64(workers)))
}

// MachinesConfig describes the machines and the machine list.
type MachinesConfig struct {
	// Count of machines. Default 18.
	Count int `yaml:"count"`
	// Zones are assigned to the machines round-robin.
	Zones []string `yaml:"zones"`
	// Accelerators of each machine. Default 2.
	Accelerators int `yaml:"accelerators"`
	// AcceleratorBytes of each accelerator. Default 80 GiB.
	AcceleratorBytes int64 `yaml:"acceleratorBytes"`
	// ListLag is the delay of changes to the machine list.
	ListLag time.Duration `yaml:"listLag"`
}

// EngineConfig describes the engine of each machine.
type EngineConfig struct {
	// MemoryBytesPerSecond and DiskBytesPerSecond are the load speeds from the machine's own tiers.
	MemoryBytesPerSecond float64 `yaml:"memoryBytesPerSecond"`
	DiskBytesPerSecond   float64 `yaml:"diskBytesPerSecond"`
	// MemoryCacheBytes and DiskCacheBytes limit the cached checkpoints.
	MemoryCacheBytes int64 `yaml:"memoryCacheBytes"`
	DiskCacheBytes   int64 `yaml:"diskCacheBytes"`
	// PrefillPerToken and TokenInterval are the durations per token of prefill and decoding.
	PrefillPerToken time.Duration `yaml:"prefillPerToken"`
	TokenInterval   time.Duration `yaml:"tokenInterval"`
	// BatchSlowdown is added to the token interval for each concurrent request.
	BatchSlowdown time.Duration `yaml:"batchSlowdown"`
	// CacheBytesPerToken is the KV cache size of one token.
	CacheBytesPerToken int64 `yaml:"cacheBytesPerToken"`
	// ReportLag is the age of the load figures in reports.
	ReportLag time.Duration `yaml:"reportLag"`
}

func (c EngineConfig) tiers() enginemodel.Tiers {
	return enginemodel.Tiers{
		MemoryBytesPerSecond: c.MemoryBytesPerSecond, DiskBytesPerSecond: c.DiskBytesPerSecond,
		MemoryCacheBytes: c.MemoryCacheBytes, DiskCacheBytes: c.DiskCacheBytes,
	}
}

// StoreConfig describes the weight store.
type StoreConfig struct {
	// LoadsPerSecond limits the loads that are admitted; further ones get status 429. Default 3.
	LoadsPerSecond float64 `yaml:"loadsPerSecond"`
	// ConcurrentLoads is the number of loads at full speed; more share the same bandwidth. Default 6.
	ConcurrentLoads int `yaml:"concurrentLoads"`
	// BytesPerSecond is the full speed of one load.
	BytesPerSecond float64 `yaml:"bytesPerSecond"`
	// Slowdown divides the speed. Default 1.
	Slowdown float64 `yaml:"slowdown"`
}

// BackendConfig describes a pool of generic backends.
type BackendConfig struct {
	Name    string        `yaml:"name"`
	Workers int           `yaml:"workers"`
	Latency time.Duration `yaml:"latency"`
}

// Faults are the probabilities, from 0 to 1, of injected faults.
type Faults struct {
	// LostAnswer: the request runs but its response is lost.
	LostAnswer float64 `yaml:"lostAnswer"`
	// CrossedAnswer: the response carries the ID of another request.
	CrossedAnswer float64 `yaml:"crossedAnswer"`
	// BrokenStream: the connection of a stream breaks partway.
	BrokenStream float64 `yaml:"brokenStream"`
	// DieWhileLoading: the engine crashes and restarts during a load.
	DieWhileLoading float64 `yaml:"dieWhileLoading"`
	// LostOrder: an order is neither executed nor answered.
	LostOrder float64 `yaml:"lostOrder"`
}

// LoadConfig reads and validates an emulator configuration file.
func LoadConfig(path string) (*Config, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.InvalidField("config", "reading the emulator configuration: %s", err.Error())
	}
	return ParseConfig(content)
}

// ParseConfig decodes and validates an emulator configuration.
func ParseConfig(content []byte) (*Config, error) {
	config := &Config{}
	if err := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict()).Decode(config); err != nil {
		return nil, fault.InvalidField("emulator", "%s", yaml.FormatError(err, false, false))
	}
	config.setDefaults()
	return config, config.validate()
}

func setDefault[T comparable](target *T, value T) {
	var zero T
	if *target == zero {
		*target = value
	}
}

func (c *Config) setDefaults() {
	setDefault(&c.Host, "127.0.0.1")
	setDefault(&c.Seed, 1)
	setDefault(&c.Machines.Count, 18)
	if len(c.Machines.Zones) == 0 {
		c.Machines.Zones = []string{"zone-a"}
	}
	setDefault(&c.Machines.Accelerators, 2)
	setDefault(&c.Machines.AcceleratorBytes, 80<<30)
	setDefault(&c.Engine.MemoryBytesPerSecond, 16e9)
	setDefault(&c.Engine.DiskBytesPerSecond, 4e9)
	setDefault(&c.Engine.MemoryCacheBytes, 64<<30)
	setDefault(&c.Engine.DiskCacheBytes, 400<<30)
	setDefault(&c.Engine.PrefillPerToken, 50*time.Microsecond)
	setDefault(&c.Engine.TokenInterval, 15*time.Millisecond)
	setDefault(&c.Engine.BatchSlowdown, 200*time.Microsecond)
	setDefault(&c.Engine.CacheBytesPerToken, 128<<10)
	setDefault(&c.Store.LoadsPerSecond, 3)
	setDefault(&c.Store.ConcurrentLoads, 6)
	setDefault(&c.Store.BytesPerSecond, 1e9)
	setDefault(&c.Store.Slowdown, 1)
}

func (c *Config) validate() error {
	probabilities := []struct {
		field string
		value float64
	}{
		{"faults.lostAnswer", c.Faults.LostAnswer},
		{"faults.crossedAnswer", c.Faults.CrossedAnswer},
		{"faults.brokenStream", c.Faults.BrokenStream},
		{"faults.dieWhileLoading", c.Faults.DieWhileLoading},
		{"faults.lostOrder", c.Faults.LostOrder},
		{"grey.share", c.Grey.Share},
		{"grey.errors", c.Grey.Errors},
	}
	for _, probability := range probabilities {
		if probability.value < 0 || probability.value > 1 {
			return fault.InvalidField(probability.field, "%s must be between 0 and 1", probability.field)
		}
	}
	if c.Machines.Count < 0 || c.Machines.Count > 5000 {
		return fault.InvalidField("machines.count", "machines.count must be between 0 and 5000")
	}
	if c.Store.LoadsPerSecond <= 0 || c.Store.ConcurrentLoads <= 0 || c.Store.BytesPerSecond <= 0 || c.Store.Slowdown <= 0 {
		return fault.InvalidField("store", "store limits and speeds must be above 0")
	}
	return nil
}
