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

// Config describes the emulated surroundings.
type Config struct {
	// Host is the IP address to listen on. Default 127.0.0.1.
	Host string `yaml:"host"`
	// Seed of the random faults. Default 1.
	Seed int64 `yaml:"seed"`

	Machines MachinesConfig  `yaml:"machines"`
	Engine   EngineConfig    `yaml:"engine"`
	Store    StoreConfig     `yaml:"store"`
	Backends []BackendConfig `yaml:"backends"`
	Faults   Faults          `yaml:"faults"`
	Grey     GreyConfig      `yaml:"grey"`
}

// GreyConfig describes workers that fail part of their requests at once, while their
// connections and reports are good.
type GreyConfig struct {
	// Share of the engines, and of the workers of each pool of back ends, that are
	// grey, rounded up. Default 0: none.
	Share float64 `yaml:"share"`
	// Errors is the share of their requests that these fail. Default 0.
	Errors float64 `yaml:"errors"`
}

// count returns how many of some workers are grey.
func (g GreyConfig) count(workers int) int {
	return int(math.Ceil(g.Share * float64(workers)))
}

// MachinesConfig describes the machines and their list.
type MachinesConfig struct {
	// Count of machines. Default 18.
	Count int `yaml:"count"`
	// Zones that the machines are spread over, in turn.
	Zones []string `yaml:"zones"`
	// Accelerators of each machine. Default 2.
	Accelerators int `yaml:"accelerators"`
	// AcceleratorBytes of each accelerator. Default 80 GiB.
	AcceleratorBytes int64 `yaml:"acceleratorBytes"`
	// ListLag is how old the machine list is.
	ListLag time.Duration `yaml:"listLag"`
}

// EngineConfig describes the engines.
type EngineConfig struct {
	// MemoryBytesPerSecond, DiskBytesPerSecond are the speeds of loads from
	// the machine's own tiers.
	MemoryBytesPerSecond float64 `yaml:"memoryBytesPerSecond"`
	DiskBytesPerSecond   float64 `yaml:"diskBytesPerSecond"`
	// MemoryCacheBytes and DiskCacheBytes bound the cached checkpoints.
	MemoryCacheBytes int64 `yaml:"memoryCacheBytes"`
	DiskCacheBytes   int64 `yaml:"diskCacheBytes"`
	// PrefillPerToken and TokenInterval are the times of one token.
	PrefillPerToken time.Duration `yaml:"prefillPerToken"`
	TokenInterval   time.Duration `yaml:"tokenInterval"`
	// BatchSlowdown is added to the interval for each other request.
	BatchSlowdown time.Duration `yaml:"batchSlowdown"`
	// CacheBytesPerToken of the KV cache.
	CacheBytesPerToken int64 `yaml:"cacheBytesPerToken"`
	// ReportLag is how old the load in a report is.
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
	// LoadsPerSecond that are admitted; more get 429. Default 3.
	LoadsPerSecond float64 `yaml:"loadsPerSecond"`
	// ConcurrentLoads at full speed; more share that bandwidth. Default 6.
	ConcurrentLoads int `yaml:"concurrentLoads"`
	// BytesPerSecond of one load at full speed.
	BytesPerSecond float64 `yaml:"bytesPerSecond"`
	// Slowdown divides the speed. Default 1.
	Slowdown float64 `yaml:"slowdown"`
}

// BackendConfig describes a pool of generic back ends.
type BackendConfig struct {
	// Name of the pool.
	Name string `yaml:"name"`
	// Workers of the pool.
	Workers int `yaml:"workers"`
	// Latency of an answer.
	Latency time.Duration `yaml:"latency"`
}

// Faults are probabilities from 0 to 1 of things that go wrong.
type Faults struct {
	// LostAnswer: the request runs and its answer is lost.
	LostAnswer float64 `yaml:"lostAnswer"`
	// CrossedAnswer: the answer carries another request's id.
	CrossedAnswer float64 `yaml:"crossedAnswer"`
	// BrokenStream: a stream's connection breaks in the middle.
	BrokenStream float64 `yaml:"brokenStream"`
	// DieWhileLoading: the engine restarts in the middle of a load.
	DieWhileLoading float64 `yaml:"dieWhileLoading"`
	// LostOrder: an order is not carried out and not answered.
	LostOrder float64 `yaml:"lostOrder"`
}

// LoadConfig reads and checks an emulator configuration.
func LoadConfig(path string) (*Config, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.InvalidField("config", "can't read the emulator configuration: %s", err.Error())
	}
	return ParseConfig(content)
}

// ParseConfig checks an emulator configuration.
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
		return fault.InvalidField("store", "the store's limits and speeds must be above 0")
	}
	return nil
}
