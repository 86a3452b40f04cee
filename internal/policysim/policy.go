package policysim

import (
	"sort"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/keepalive"
)

// Policy is what a run is made under.
type Policy struct {
	Name string
	// RoundRobin routes without regard to load and affinity.
	RoundRobin bool
	// keepAlive makes the keep-alive policy; it may look at the arrivals to
	// come.
	keepAlive func(arrivals []arrival) keepalive.Policy
}

// DefaultPolicy is the project's own, with its default settings.
const DefaultPolicy = "adaptive"

// PolicyNames lists the policies: the project's own and the baselines.
var PolicyNames = []string{
	DefaultPolicy, "ski-rental", "fixed-10m", "none", "always-loaded", "round-robin", "clairvoyant",
}

// PolicyByName returns a policy.
func PolicyByName(name string) (Policy, error) {
	switch name {
	case "round-robin":
		return Policy{Name: name, RoundRobin: true, keepAlive: named(DefaultPolicy)}, nil
	case "clairvoyant":
		return Policy{Name: name, keepAlive: newClairvoyant}, nil
	}
	if keepalive.New(name) == nil {
		return Policy{}, fault.InvalidField("policy", "unknown policy %s", name)
	}
	return Policy{Name: name, keepAlive: named(name)}, nil
}

func named(name string) func([]arrival) keepalive.Policy {
	return func([]arrival) keepalive.Policy { return keepalive.New(name) }
}

// clairvoyant sees when each version is used next. It keeps a replica exactly
// where idling until then costs no more than loading again, and loads nothing
// ahead: the best that any rule of keeping can do under the same weights.
type clairvoyant struct {
	uses map[string][]time.Time
}

func newClairvoyant(arrivals []arrival) keepalive.Policy {
	policy := &clairvoyant{uses: map[string][]time.Time{}}
	for _, entry := range arrivals {
		version := entry.model + ".v1"
		policy.uses[version] = append(policy.uses[version], epoch.Add(entry.at))
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
	// The whole gap counts: idling that is past was decided on, too.
	return keepalive.KeepIf(next < len(uses) && uses[next].Sub(now)+idle <= subject.BreakEven())
}

// PrewarmIndex implements keepalive.Policy.
func (c *clairvoyant) PrewarmIndex(keepalive.VersionProfile, time.Time) float64 { return 0 }
