package membership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// maxExtraVoters is by how many voters more than the least the spread over zones and regions may
// ask for: each one more makes each commit wait for more disks and links.
const maxExtraVoters = 4

// Tolerance is how many machines, zones or regions may be lost at once, each taken alone, so that
// a quorum is left.
type Tolerance struct {
	Machines, Zones, Regions int
}

// ToleranceOf returns what the voters of a membership bear.
func ToleranceOf(current *wirepb.Membership, policy Policy) Tolerance {
	counts := countsOf(current, policy, current.GetVoters())
	return Tolerance{Machines: counts.spare(), Zones: counts.bearable(counts.zones), Regions: counts.bearable(counts.regions)}
}

// counts are numbers of voters by where they stand. Voters of zones without a known region count
// as one region.
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

// spare is how many voters may be lost.
func (c *counts) spare() int {
	return max(c.total-1, 0) / 2
}

// bearable is how many of the groups, whichever, may be lost.
func (c *counts) bearable(groups map[string]int) int {
	borne := 0
	for borne < len(groups) && c.shortOf(groups, borne+1) == 0 {
		borne++
	}
	return borne
}

// shortOf is how many voters too many the largest groups hold for these to be lost.
func (c *counts) shortOf(groups map[string]int, lost int) int {
	sizes := slices.Sorted(maps.Values(groups))
	held := 0
	for _, size := range sizes[max(len(sizes)-lost, 0):] {
		held += size
	}
	return max(held-c.spare(), 0)
}

// short is by how much the voters miss what zones and regions must bear.
func (c *counts) short(policy Policy) int {
	return c.shortOf(c.zones, policy.Zones) + c.shortOf(c.regions, policy.Regions)
}

// spread rates a choice of voters: what must be borne first; then evenly over zones, and over
// regions, which bears more than was asked for.
type spread struct {
	short, zones, regions int
}

func (s spread) less(other spread) bool {
	return cmp.Or(cmp.Compare(s.short, other.short), cmp.Compare(s.zones, other.zones), cmp.Compare(s.regions, other.regions)) < 0
}

func (c *counts) spread(policy Policy) spread {
	return spread{short: c.short(policy), zones: squares(c.zones), regions: squares(c.regions)}
}

// squares is least where the groups are even.
func squares(groups map[string]int) int {
	sum := 0
	for _, size := range groups {
		sum += size * size
	}
	return sum
}

func (i Input) spreadOf(voters []uint64) spread {
	counted := countsOf(i.Current, i.Policy, voters)
	return counted.spread(i.Policy)
}

// voters is how many voters are aimed at: as few as bear what is asked for where the members
// stand. Where no number does, it is the least, or the present one: losses that can't be borne
// are no reason to bear fewer others.
func (i Input) voters() int {
	least := max(i.Policy.Voters, 2*i.Policy.Zones+1, 2*i.Policy.Regions+1)
	zones := map[string]bool{}
	for _, held := range i.Current.GetAddresses() {
		zones[held.GetZone()] = true
	}
	for number := least; number <= least+maxExtraVoters; number += 2 {
		placed := place(i.Policy, slices.Sorted(maps.Keys(zones)), number)
		if placed.short(i.Policy) == 0 {
			return number
		}
	}
	present := len(i.Current.GetVoters())
	if present%2 == 1 && present > least && present <= least+maxExtraVoters {
		return present
	}
	return least
}

// place spreads a number of voters over zones as evenly as can be, and over regions first where
// these must be borne.
func place(policy Policy, zones []string, number int) counts {
	placed := counts{zones: map[string]int{}, regions: map[string]int{}}
	if len(zones) == 0 {
		return placed
	}
	for range number {
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

// balance makes a voter of a learner where one voter less elsewhere then leaves a set that bears
// more of what is asked for; shrink takes that one. The learner comes first: all voters are up,
// and one more bears the loss of as many as before.
func balance(input Input) *wirepb.Membership {
	voters := input.Current.GetVoters()
	best := input.spreadOf(voters)
	if best.short == 0 || len(voters) != input.voters() || len(liveVoters(input)) < len(voters) || !input.knowsZones() {
		return nil
	}
	var next *wirepb.Membership
	for _, learner := range readyLearners(input) {
		for _, voter := range voters {
			swapped := input.spreadOf(append(removed(voters, voter), learner))
			if voter != input.Status.ID && swapped.short < best.short {
				best, next = swapped, promote(input, learner)
			}
		}
	}
	return next
}

// knowsZones reports whether it is known where all voters stand. Seeds are known by their
// addresses only before they have said more.
func (i Input) knowsZones() bool {
	return !slices.ContainsFunc(i.Current.GetVoters(), func(id uint64) bool { return zoneOf(i.Current, id) == "" })
}
