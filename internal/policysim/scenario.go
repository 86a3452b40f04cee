package policysim

import (
	"bytes"
	"embed"
	"os"
	"strconv"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/weldline/weldline/internal/enginemodel"
	"github.com/weldline/weldline/internal/fault"
)

//go:embed scenarios/*.yaml
var scenarioFiles embed.FS

// Scenario describes a deployment and its traffic.
type Scenario struct {
	Name string `yaml:"name"`
	// The first WarmupDays of Days are not measured, so that learning policies can adapt.
	Days       int               `yaml:"days"`
	WarmupDays int               `yaml:"warmupDays"`
	Routers    int               `yaml:"routers"`
	Machines   MachinesScenario  `yaml:"machines"`
	Store      StoreScenario     `yaml:"store"`
	Services   []ServiceScenario `yaml:"services"`
	Faults     FaultsScenario    `yaml:"faults"`
}

// MachinesScenario describes the machines; sizes are in GiB, speeds in GB/s.
type MachinesScenario struct {
	Count          int     `yaml:"count"`
	Accelerators   int     `yaml:"accelerators"`
	AcceleratorGiB float64 `yaml:"acceleratorGiB"`
	MemoryGBps     float64 `yaml:"memoryGBps"`
	DiskGBps       float64 `yaml:"diskGBps"`
	MemoryCacheGiB float64 `yaml:"memoryCacheGiB"`
	DiskCacheGiB   float64 `yaml:"diskCacheGiB"`
	// TokenInterval and PrefillPerToken are the durations per token of decoding and prefill.
	TokenInterval   time.Duration `yaml:"tokenInterval"`
	PrefillPerToken time.Duration `yaml:"prefillPerToken"`
}

// StoreScenario describes the weight store.
type StoreScenario struct {
	LoadsPerSecond  float64 `yaml:"loadsPerSecond"`
	ConcurrentLoads int     `yaml:"concurrentLoads"`
	// GBps is the full speed of one load.
	GBps float64 `yaml:"gBps"`
}

// ServiceScenario describes a service and its traffic.
type ServiceScenario struct {
	Name            string        `yaml:"name"`
	Models          int           `yaml:"models"`
	WeightGiB       []float64     `yaml:"weightGiB"`
	CacheGiB        float64       `yaml:"cacheGiB"`
	Accelerators    int           `yaml:"accelerators"`
	MaxConcurrent   int           `yaml:"maxConcurrent"`
	Priority        int32         `yaml:"priority"`
	Deadline        time.Duration `yaml:"deadline"`
	ColdStartWeight float64       `yaml:"coldStartWeight"`
	PromptTokens    int           `yaml:"promptTokens"`
	AnswerTokens    int           `yaml:"answerTokens"`
	// A session sends a few requests to one model.
	SessionsPerDay     float64       `yaml:"sessionsPerDay"`
	RequestsPerSession float64       `yaml:"requestsPerSession"`
	PauseInSession     time.Duration `yaml:"pauseInSession"`
	// Zipf is the exponent of the models' popularity.
	Zipf float64 `yaml:"zipf"`
	// Traffic is a mixture of the peaks and a uniform part. Base is the weight of the uniform part,
	// relative to the shares of the peaks.
	Peaks  []Peak  `yaml:"peaks"`
	Base   float64 `yaml:"base"`
	Bursts []Burst `yaml:"bursts"`
	Batch  *Batch  `yaml:"batch"`
}

// Peak is a normal distribution of traffic over the time of day.
type Peak struct {
	// At is the mean, from midnight; Width is the standard deviation.
	At    time.Duration `yaml:"at"`
	Width time.Duration `yaml:"width"`
	Share float64       `yaml:"share"`
}

// Burst is a daily spike of requests.
type Burst struct {
	At       time.Duration `yaml:"at"`
	Over     time.Duration `yaml:"over"`
	Requests int           `yaml:"requests"`
	Models   int           `yaml:"models"`
	// Jitter is the maximum daily shift of the start.
	Jitter time.Duration `yaml:"jitter"`
}

// Batch is a nightly job that sends requests at a fixed interval.
type Batch struct {
	At       time.Duration `yaml:"at"`
	Requests int           `yaml:"requests"`
	Every    time.Duration `yaml:"every"`
	Models   int           `yaml:"models"`
}

// FaultsScenario sets the mean number of faults per day, unless a field says otherwise.
type FaultsScenario struct {
	EngineRestarts  float64 `yaml:"engineRestarts"`
	MachinesLeaving float64 `yaml:"machinesLeaving"`
	LeaderChanges   float64 `yaml:"leaderChanges"`
	// SlowStoreMinutes is the duration of a store slowdown, of which there is one per day on average.
	SlowStoreMinutes float64 `yaml:"slowStoreMinutes"`
	// DieWhileLoading is the probability that an engine crashes during a load.
	DieWhileLoading float64 `yaml:"dieWhileLoading"`
}

// Load returns an embedded scenario by name, or reads a file.
func Load(nameOrPath string) (*Scenario, error) {
	content, err := scenarioFiles.ReadFile("scenarios/" + nameOrPath + ".yaml")
	if err != nil {
		if content, err = os.ReadFile(nameOrPath); err != nil {
			return nil, fault.InvalidField("scenario", "%s is neither an embedded scenario nor a readable file", nameOrPath)
		}
	}
	return Parse(content)
}

// Parse decodes and validates a scenario.
func Parse(content []byte) (*Scenario, error) {
	scenario := &Scenario{}
	if err := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict()).Decode(scenario); err != nil {
		return nil, fault.InvalidField("scenario", "%s", yaml.FormatError(err, false, false))
	}
	return scenario, scenario.validate()
}

func (s *Scenario) validate() error {
	if s.Name == "" {
		return fault.InvalidField("name", "name is required")
	}
	checks := []struct {
		field string
		value float64
		low   float64
		high  float64
	}{
		{"days", float64(s.Days), 1, 60},
		{"warmupDays", float64(s.WarmupDays), 0, float64(s.Days - 1)},
		{"routers", float64(s.Routers), 1, 100},
		{"machines.count", float64(s.Machines.Count), 1, 2000},
		{"machines.accelerators", float64(s.Machines.Accelerators), 1, 64},
		{"machines.acceleratorGiB", s.Machines.AcceleratorGiB, 1, 1000},
		{"machines.memoryGBps", s.Machines.MemoryGBps, 0.01, 1000},
		{"machines.diskGBps", s.Machines.DiskGBps, 0.01, 1000},
		{"store.loadsPerSecond", s.Store.LoadsPerSecond, 0.01, 1000},
		{"store.concurrentLoads", float64(s.Store.ConcurrentLoads), 1, 10000},
		{"store.gBps", s.Store.GBps, 0.01, 1000},
		{"faults.dieWhileLoading", s.Faults.DieWhileLoading, 0, 1},
	}
	for _, check := range checks {
		if check.value < check.low || check.value > check.high {
			return fault.InvalidField(check.field, "%g is not between %g and %g", check.value, check.low, check.high)
		}
	}
	if len(s.Services) == 0 {
		return fault.InvalidField("services", "at least one service is required")
	}
	for position := range s.Services {
		if err := s.Services[position].validate("services[" + strconv.Itoa(position) + "]."); err != nil {
			return err
		}
	}
	return nil
}

func (s *ServiceScenario) validate(prefix string) error {
	if s.Name == "" {
		return fault.InvalidField(prefix+"name", "name is required")
	}
	if len(s.WeightGiB) == 0 {
		return fault.InvalidField(prefix+"weightGiB", "at least one size is required")
	}
	for _, check := range []struct {
		field string
		value float64
	}{
		{"models", float64(s.Models)},
		{"maxConcurrent", float64(s.MaxConcurrent)},
		{"answerTokens", float64(s.AnswerTokens)},
		{"deadline", s.Deadline.Seconds()},
		{"coldStartWeight", s.ColdStartWeight},
		{"accelerators", float64(s.Accelerators)},
	} {
		if check.value <= 0 {
			return fault.InvalidField(prefix+check.field, "must be above 0")
		}
	}
	if s.RequestsPerSession < 1 && s.SessionsPerDay > 0 {
		return fault.InvalidField(prefix+"requestsPerSession", "must be at least 1")
	}
	return nil
}

const (
	gibibyte = 1 << 30
	gigabyte = 1e9
)

func (s *Scenario) tiers() enginemodel.Tiers {
	return enginemodel.Tiers{
		MemoryBytesPerSecond: s.Machines.MemoryGBps * gigabyte, DiskBytesPerSecond: s.Machines.DiskGBps * gigabyte,
		MemoryCacheBytes: int64(s.Machines.MemoryCacheGiB * gibibyte), DiskCacheBytes: int64(s.Machines.DiskCacheGiB * gibibyte),
	}
}
