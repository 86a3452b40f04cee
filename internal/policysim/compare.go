package policysim

import (
	"fmt"
	"io"
	"sort"
	"sync"

	"github.com/weldline/weldline/internal/virtualtime"
)

// Comparison is the mean result of several seeds under one policy.
type Comparison struct {
	Scenario string
	Policy   string
	// WeightScale multiplies the cold-start weights of the scenario.
	WeightScale float64
	Seeds       int

	ColdShare      float64
	ColdP50        float64
	ColdP99        float64
	MinimumLoadP99 float64
	WaitP99        float64
	WaitP999       float64
	FirstP95       float64
	IdleHours      float64
	Loads          float64
	Refused        float64
	Violations     int
	MaxSeconds     float64
}

// Job is one run of a comparison.
type Job struct {
	Policy      string
	WeightScale float64
	Seed        uint64
}

// Compare runs jobs on all processors and averages them over the seeds. The comparisons are in the
// order in which the combinations of policy and scale first occur in the jobs.
func Compare(scenario *Scenario, jobs []Job, progress func(Result)) ([]Comparison, error) {
	policies := make([]Policy, len(jobs))
	for position, job := range jobs {
		policy, err := PolicyByName(job.Policy)
		if err != nil {
			return nil, err
		}
		policies[position] = policy
	}
	results := make([]Result, len(jobs))
	var mutex sync.Mutex
	virtualtime.RunAll(len(jobs), func(position int) {
		job := jobs[position]
		results[position] = Run(scenario.withWeightScale(job.WeightScale), job.Seed, policies[position])
		mutex.Lock()
		defer mutex.Unlock()
		progress(results[position])
	})
	return average(scenario.Name, jobs, results), nil
}

// withWeightScale returns a copy with scaled cold-start weights.
func (s *Scenario) withWeightScale(scale float64) *Scenario {
	return s.withServices(func(service *ServiceScenario) { service.ColdStartWeight *= scale })
}

// WithTraffic returns a copy with the number of sessions multiplied by a factor.
func (s *Scenario) WithTraffic(factor float64) *Scenario {
	return s.withServices(func(service *ServiceScenario) { service.SessionsPerDay *= factor })
}

// withServices returns a copy with change applied to each service.
func (s *Scenario) withServices(change func(*ServiceScenario)) *Scenario {
	copied := *s
	copied.Services = append([]ServiceScenario(nil), s.Services...)
	for position := range copied.Services {
		change(&copied.Services[position])
	}
	return &copied
}

func average(scenario string, jobs []Job, results []Result) []Comparison {
	type key struct {
		policy string
		scale  float64
	}
	sums := map[key]*Comparison{}
	var pairs []key
	for position, job := range jobs {
		pair := key{job.Policy, job.WeightScale}
		if sums[pair] == nil {
			sums[pair] = &Comparison{Scenario: scenario, Policy: job.Policy, WeightScale: job.WeightScale}
			pairs = append(pairs, pair)
		}
		sums[pair].add(results[position])
	}
	compared := make([]Comparison, 0, len(pairs))
	for _, pair := range pairs {
		compared = append(compared, sums[pair].mean())
	}
	return compared
}

func (c *Comparison) add(result Result) {
	c.Seeds++
	if result.Requests.Total > 0 {
		c.ColdShare += float64(result.ColdStarts) / float64(result.Requests.Total)
	}
	c.ColdP50 += result.ColdStart.P50
	c.ColdP99 += result.ColdStart.P99
	c.MinimumLoadP99 += result.ColdStartMinimum.P99
	c.WaitP99 += result.ReplicaWait.P99
	c.WaitP999 += result.ReplicaWait.P999
	c.FirstP95 += result.FirstToken.P95
	c.IdleHours += result.IdleHours
	c.Loads += float64(result.Loads)
	c.Refused += float64(result.Requests.RefusedNotRun)
	c.Violations += result.Violations()
	c.MaxSeconds = max(c.MaxSeconds, result.Seconds)
}

func (c *Comparison) mean() Comparison {
	mean := *c
	count := float64(c.Seeds)
	for _, value := range []*float64{
		&mean.ColdShare, &mean.ColdP50, &mean.ColdP99, &mean.MinimumLoadP99, &mean.WaitP99, &mean.WaitP999,
		&mean.FirstP95, &mean.IdleHours, &mean.Loads, &mean.Refused,
	} {
		*value /= count
	}
	return mean
}

// WriteComparison writes the comparisons as a Markdown table.
func WriteComparison(writer io.Writer, compared []Comparison) {
	_, _ = fmt.Fprintln(writer, "| scenario | policy | weights x | seeds | cold | cold start p50 s | cold start p99 s | floor p99 s | ratio | replica wait p99 s | p999 s | first token p95 s | idle hours | loads | refused | broken |")
	_, _ = fmt.Fprintln(writer, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, entry := range compared {
		ratio := 0.0
		if entry.MinimumLoadP99 > 0 {
			ratio = entry.ColdP99 / entry.MinimumLoadP99
		}
		_, _ = fmt.Fprintf(writer, "| %s | %s | %g | %d | %.1f%% | %.2f | %.2f | %.2f | %.2f | %.3f | %.2f | %.2f | %.1f | %.0f | %.1f | %d |\n",
			entry.Scenario, entry.Policy, entry.WeightScale, entry.Seeds, 100*entry.ColdShare, entry.ColdP50, entry.ColdP99,
			entry.MinimumLoadP99, ratio, entry.WaitP99, entry.WaitP999, entry.FirstP95, entry.IdleHours, entry.Loads, entry.Refused, entry.Violations)
	}
}

// curveOf returns the (idle hours, value) points of a policy, ordered by idle hours.
func curveOf(compared []Comparison, policy string, value func(Comparison) float64) [][2]float64 {
	var points [][2]float64
	for _, entry := range compared {
		if entry.Policy == policy {
			points = append(points, [2]float64{entry.IdleHours, value(entry)})
		}
	}
	sort.Slice(points, func(i, j int) bool { return points[i][0] < points[j][0] })
	return points
}
