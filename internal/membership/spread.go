package membership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// maxExtraVoters bounds the voters added above the minimum to tolerate zone or region losses, since
// each makes commits wait for more disks and links.
const maxExtraVoters = 4

// Tolerance has the numbers of machines, of zones and of regions whose loss leaves a quorum. Each
// number assumes that nothing else is lost.
type Tolerance struct {
	Machines, Zones, Regions int
}

// ToleranceOf returns the tolerance of a membership's voters.
func ToleranceOf(current *wirepb.Membership, policy Policy) Tolerance {
	counts := countsOf(current, policy, current.GetVoters())
	return Tolerance{Machines: counts.machineTolerance(), Zones: counts.groupTolerance(counts.zones), Regions: counts.groupTolerance(counts.regions)}
}

// counts holds the numbers of voters by zone and region. Zones without a known region count as one
// region.
type counts struct {
	total          int
	zones, regions map[string]int
}

func countsOf(current *wirepb.Membership, policy Policy, voters []uint64) counts {
	counted := counts{zones: map[string]int{}, regions: map[string]int{}}
	for _, voter := range voters {
		counted.add(policy, zoneOf(current, voter))
	}
	return counted
}

func (c *counts) add(policy Policy, zone string) {
	c.total++
	c.zones[zone]++
	c.regions[policy.Places.Region(zone)]++
}

// machineTolerance returns how many voters may be lost.
func (c *counts) machineTolerance() int {
	return max(c.total-1, 0) / 2
}

// groupTolerance returns how many groups may be lost, including the largest ones.
func (c *counts) groupTolerance(groups map[string]int) int {
	tolerated := 0
	for tolerated < len(groups) && c.shortfallOf(groups, tolerated+1) == 0 {
		tolerated++
	}
	return tolerated
}

// shortfallOf returns by how many the voters in the given number of largest groups exceed the voters
// that may be lost.
func (c *counts) shortfallOf(groups map[string]int, lost int) int {
	sizes := slices.Sorted(maps.Values(groups))
	heldVoters := 0
	for _, size := range sizes[max(len(sizes)-lost, 0):] {
		heldVoters += size
	}
	return max(heldVoters-c.machineTolerance(), 0)
}

// shortfall returns by how many voters the placement misses the policy.
func (c *counts) shortfall(policy Policy) int {
	return c.shortfallOf(c.zones, policy.Zones) + c.shortfallOf(c.regions, policy.Regions)
}

// placementScore ranks sets of voters; lower is better. The policy's shortfall comes first, then
// even distribution over zones, then over regions.
type placementScore struct {
	shortfall, zones, regions int
}

func (s placementScore) betterThan(other placementScore) bool {
	return cmp.Or(cmp.Compare(s.shortfall, other.shortfall), cmp.Compare(s.zones, other.zones), cmp.Compare(s.regions, other.regions)) < 0
}

func (c *counts) score(policy Policy) placementScore {
	return placementScore{shortfall: c.shortfall(policy), zones: sumOfSquares(c.zones), regions: sumOfSquares(c.regions)}
}

// sumOfSquares is lowest for groups of equal size.
func sumOfSquares(groups map[string]int) int {
	sum := 0
	for _, size := range groups {
		sum += size * size
	}
	return sum
}

func (i Input) scoreOf(voters []uint64) placementScore {
	counted := countsOf(i.Current, i.Policy, voters)
	return counted.score(i.Policy)
}

// targetVoters returns the smallest number of voters that can satisfy the policy with the known
// zones. If none can, it returns the minimum, or the current number if that is higher and valid.
func (i Input) targetVoters() int {
	minimum := max(i.Policy.Voters, 2*i.Policy.Zones+1, 2*i.Policy.Regions+1)
	zones := map[string]bool{}
	for _, held := range i.Current.GetAddresses() {
		zones[held.GetZone()] = true
	}
	for count := minimum; count <= minimum+maxExtraVoters; count += 2 {
		placement := placeVoters(i.Policy, slices.Sorted(maps.Keys(zones)), count)
		if placement.shortfall(i.Policy) == 0 {
			return count
		}
	}
	current := len(i.Current.GetVoters())
	if current%2 == 1 && current > minimum && current <= minimum+maxExtraVoters {
		return current
	}
	return minimum
}

// placeVoters distributes a number of voters evenly over zones; if region losses must be tolerated,
// over regions first.
func placeVoters(policy Policy, zones []string, count int) counts {
	placed := counts{zones: map[string]int{}, regions: map[string]int{}}
	if len(zones) == 0 {
		return placed
	}
	for range count {
		placed.add(policy, slices.MinFunc(zones, func(left, right string) int {
			byZone := cmp.Compare(placed.zones[left], placed.zones[right])
			byRegion := cmp.Compare(placed.regions[policy.Places.Region(left)], placed.regions[policy.Places.Region(right)])
			if policy.Regions > 0 {
				return cmp.Or(byRegion, byZone)
			}
			return cmp.Or(byZone, byRegion)
		}))
	}
	return placed
}

// rebalance promotes a learner if replacing a voter with it improves the shortfall;
// removeExcessVoter then removes that voter. The learner is added first, so that no tolerance is
// lost in between.
func rebalance(input Input) *wirepb.Membership {
	voters := input.Current.GetVoters()
	bestScore := input.scoreOf(voters)
	if bestScore.shortfall == 0 || len(voters) != input.targetVoters() || len(liveVoters(input)) < len(voters) || !input.allZonesKnown() {
		return nil
	}
	var next *wirepb.Membership
	for _, learner := range readyLearners(input) {
		for _, voter := range voters {
			swapped := input.scoreOf(append(withoutID(voters, voter), learner))
			if voter != input.Status.ID && swapped.shortfall < bestScore.shortfall {
				bestScore, next = swapped, promote(input, learner)
			}
		}
	}
	return next
}

// allZonesKnown reports whether the zones of all voters are known. At first only the addresses of
// seeds are known.
func (i Input) allZonesKnown() bool {
	return !slices.ContainsFunc(i.Current.GetVoters(), func(id uint64) bool { return zoneOf(i.Current, id) == "" })
}
