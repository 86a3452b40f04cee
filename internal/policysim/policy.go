package policysim

import (
	"sort"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/keepalive"
)

// Policy selects the keep-alive and routing rules of a run.
type Policy struct {
	Name string
	// RoundRobin ignores load and affinity in routing.
	RoundRobin bool
	// keepAlive creates the keep-alive policy. It gets the arrivals for policies that need future
	// knowledge.
	keepAlive func(arrivals []arrival) keepalive.Policy
}

// DefaultPolicy is the default keep-alive policy.
const DefaultPolicy = "adaptive"

// PolicyNames lists the default policy and the baselines.
var PolicyNames = []string{
	DefaultPolicy, "ski-rental", "fixed-10m", "none", "always-loaded", "round-robin", "clairvoyant",
}

// PolicyByName returns the policy with one of PolicyNames.
func PolicyByName(name string) (Policy, error) {
	switch name {
	case "round-robin":
		return Policy{Name: name, RoundRobin: true, keepAlive: keepAliveByName(DefaultPolicy)}, nil
	case "clairvoyant":
		return Policy{Name: name, keepAlive: newClairvoyant}, nil
	}
	if keepalive.New(name) == nil {
		return Policy{}, fault.InvalidField("policy", "unknown policy %s", name)
	}
	return Policy{Name: name, keepAlive: keepAliveByName(name)}, nil
}

func keepAliveByName(name string) func([]arrival) keepalive.Policy {
	return func([]arrival) keepalive.Policy { return keepalive.New(name) }
}

// clairvoyant knows the next use of each version. It keeps a replica if and only if idling until then
// costs no more than loading it again, and never prewarms. Its cost is a lower bound for keep-alive
// policies with the same weights.
type clairvoyant struct {
	uses map[string][]time.Time
}

func newClairvoyant(arrivals []arrival) keepalive.Policy {
	policy := &clairvoyant{uses: map[string][]time.Time{}}
	for _, entry := range arrivals {
		version := entry.model + ".v1"
		policy.uses[version] = append(policy.uses[version], simulationStart.Add(entry.at))
	}
	return policy
}

// Name implements keepalive.Policy.
func (c *clairvoyant) Name() string { return "clairvoyant" }

// RecordUse implements keepalive.Policy.
func (c *clairvoyant) RecordUse(string, time.Time) {}

// Index implements keepalive.Policy.
func (c *clairvoyant) Index(subject keepalive.VersionProfile, idle time.Duration, now time.Time) float64 {
	uses := c.uses[subject.Version]
	next := sort.Search(len(uses), func(i int) bool { return !uses[i].Before(now) })
	// The whole gap between two uses counts, including the idle time that has already passed.
	return keepalive.KeepIf(next < len(uses) && uses[next].Sub(now)+idle <= subject.BreakEven())
}

// PrewarmIndex implements keepalive.Policy.
func (c *clairvoyant) PrewarmIndex(keepalive.VersionProfile, time.Time) float64 { return 0 }
