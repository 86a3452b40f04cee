package subset

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// Initial limits of the members of a group that a node learns of. They bound what a node holds: with 50
// busy versions, 250 rare ones and 700 adapters some 3,000 objects of about a kilobyte.
const (
	// replicasPerVersion covers the load of a zone's routers on one version: at 10 slots each, 320
	// requests at a time.
	replicasPerVersion = 32
	// replicasPerAdapter is smaller, since adapters have few replicas and load quickly.
	replicasPerAdapter = 4
	fixedPerPool       = 32
	// enginesPerPool is enough to know that a pool has machines in a region, even if one is lost.
	enginesPerPool = 2
	// otherRegionDivisor reduces the limits for regions other than the node's, which are used only when
	// no nearer member is available.
	otherRegionDivisor = 4
	// otherZoneInterval is the interval of members from other zones in the selection, so that nodes
	// know alternatives when a zone is lost.
	otherZoneInterval = 4
)

var initialLimits = [...]int{
	versionGroup: replicasPerVersion, adapterGroup: replicasPerAdapter, fixedGroup: fixedPerPool, engineGroup: enginesPerPool,
}

// Subset has the machines and replicas known to one node.
type Subset struct {
	index      *Index
	generation uint64
	location   places.Location
	// known has the machines and replicas that were sent to the node and not deleted.
	known map[state.Key]struct{}
	// selected has the selected members of each group, including former members.
	selected map[*group][]string
	// limits has the raised limits.
	limits map[*group]int
	// nextChange is the number of the first group change that was not examined.
	nextChange int
	// sharers has the events for machines that share an endpoint with a known machine, to be returned
	// by the next Update.
	sharers []*wirepb.WatchEvent
	// machines counts the changes to the set of known machines.
	machines uint64
}

// Subset returns an empty subset for a node.
func (x *Index) Subset(location places.Location) *Subset {
	return &Subset{
		index: x, generation: x.generation, location: location, known: map[state.Key]struct{}{},
		selected: map[*group][]string{}, limits: map[*group]int{}, nextChange: -1,
	}
}

// Expired reports whether the whole index was replaced, so that the node must list the state again.
func (s *Subset) Expired() bool { return s.generation != s.index.generation }

// Clone returns a copy for another node at the same location. The slices in selected are shared, since
// they are replaced and never modified.
func (s *Subset) Clone() *Subset {
	copied := *s
	copied.known, copied.selected, copied.limits = maps.Clone(s.known), maps.Clone(s.selected), maps.Clone(s.limits)
	return &copied
}

// KnowsMachine reports whether a machine was sent to the node and not deleted since.
func (s *Subset) KnowsMachine(name string) bool {
	_, known := s.known[state.Key{Kind: v1.KindMachine, Name: name}]
	return known
}

// EachMachine calls visit for each known machine, in no particular order.
func (s *Subset) EachMachine(visit func(name string)) {
	for key := range s.known {
		if key.Kind == v1.KindMachine {
			visit(key.Name)
		}
	}
}

// MachineChanges returns a counter that increases whenever the result of KnowsMachine changes for any
// machine.
func (s *Subset) MachineChanges() uint64 { return s.machines }

// Filter returns the changes that concern the node, in order. The index must include all of them.
func (s *Subset) Filter(events []*wirepb.WatchEvent) []*wirepb.WatchEvent {
	var relevant []*wirepb.WatchEvent
	for _, event := range events {
		key := state.KeyOf(event.GetObject())
		_, known := s.known[key]
		if known || !isSubsetKind(key.Kind) {
			relevant = append(relevant, event)
		}
		switch {
		case known && event.GetDeleted():
			s.removeKnown(key)
		case key.Kind == v1.KindMachine:
			s.addSharers(key.Name)
		}
	}
	return relevant
}

// addSharers adds all machines at a machine's endpoint if the node knows one of them.
func (s *Subset) addSharers(name string) {
	entry := s.index.machines[name]
	if entry == nil || entry.object == nil {
		return
	}
	sharers := s.index.endpoints[entry.spec.Endpoint]
	if len(sharers) == 1 || !slices.ContainsFunc(sharers, s.KnowsMachine) {
		return
	}
	for _, sharer := range sharers {
		if other := s.index.machines[sharer]; other.isInUse() {
			s.sharers = s.addObject(s.sharers, other.object)
		}
	}
}

// isSubsetKind reports whether nodes learn of only some objects of a kind.
func isSubsetKind(kind v1.Kind) bool {
	return kind == v1.KindMachine || kind == v1.KindReplica
}

func (s *Subset) markKnown(key state.Key) {
	s.known[key] = struct{}{}
	if key.Kind == v1.KindMachine {
		s.machines++
	}
}

func (s *Subset) removeKnown(key state.Key) {
	delete(s.known, key)
	if key.Kind == v1.KindMachine {
		s.machines++
	}
}

// Update selects members of the groups that changed since the last call, and returns events for the
// objects that the node did not know, machines before their replicas. The index must be at the revision
// up to which changes were filtered.
func (s *Subset) Update() []*wirepb.WatchEvent {
	events := s.sharers
	s.sharers = nil
	for _, g := range s.changedGroups() {
		events = s.selectMembers(events, g)
	}
	s.nextChange = s.index.first + len(s.index.changed)
	return events
}

// changedGroups returns the groups that changed since the last Update, without duplicates.
func (s *Subset) changedGroups() []*group {
	if s.nextChange < s.index.first {
		return sortedGroups(s.index.groups)
	}
	var groups []*group
	listed := map[*group]bool{}
	for _, g := range s.index.changed[s.nextChange-s.index.first:] {
		if !listed[g] {
			groups, listed[g] = append(groups, g), true
		}
	}
	return groups
}

func sortedGroups(groups map[groupKey]*group) []*group {
	return slices.SortedFunc(maps.Values(groups), func(left, right *group) int {
		return cmp.Or(
			cmp.Compare(left.key.kind, right.key.kind), cmp.Compare(left.key.name, right.key.name),
			cmp.Compare(left.key.adapter, right.key.adapter), cmp.Compare(left.key.region, right.key.region),
		)
	})
}

// RaiseLimits doubles the limits of a version, and of an adapter unless it is empty, where they are
// below the number of members. It returns whether any limit was raised; the next Update selects the
// additional members.
func (s *Subset) RaiseLimits(version, adapter string) bool {
	raised := false
	for region := range s.index.regions {
		raised = s.raiseLimit(groupKey{kind: versionGroup, name: version, region: region}) || raised
		if adapter != "" {
			raised = s.raiseLimit(groupKey{kind: adapterGroup, name: version, adapter: adapter, region: region}) || raised
		}
	}
	return raised
}

func (s *Subset) raiseLimit(key groupKey) bool {
	g := s.index.groups[key]
	if g == nil || s.limitOf(g) >= len(g.members) {
		return false
	}
	s.limits[g] = 2 * s.limitOf(g)
	s.index.markChanged(g)
	return true
}

// limitOf returns the number of members of a group to select.
func (s *Subset) limitOf(g *group) int {
	if raised, isRaised := s.limits[g]; isRaised {
		return raised
	}
	limit := initialLimits[g.key.kind]
	if g.key.region != s.location.Zones.Region(s.location.Zone) {
		limit = max(1, limit/otherRegionDivisor)
	}
	return limit
}

// selectMembers selects additional members of a group if too few of the selected ones are usable.
func (s *Subset) selectMembers(events []*wirepb.WatchEvent, g *group) []*wirepb.WatchEvent {
	limit := s.limitOf(g)
	usable := 0
	remaining := s.selected[g][:0:0]
	for _, member := range s.selected[g] {
		host, isMember := g.members[member]
		if !isMember {
			continue
		}
		remaining = append(remaining, member)
		events = s.addMember(events, g, member) // The object may have been deleted and created again.
		if s.index.isUsable(host) {
			usable++
		}
	}
	g.examined += len(s.selected[g])
	s.selected[g] = remaining
	if usable >= limit || len(remaining) == len(g.members) {
		return events
	}
	for _, member := range s.ranked(g, remaining) {
		isUsable := s.index.isUsable(g.members[member])
		if !isUsable && (usable > 0 || len(s.selected[g]) >= limit) || usable >= limit {
			break
		}
		if isUsable {
			usable++
		}
		s.selected[g] = append(s.selected[g], member)
		events = s.addMember(events, g, member)
	}
	return events
}

// addMember adds events for the unknown objects of a member.
func (s *Subset) addMember(events []*wirepb.WatchEvent, g *group, member string) []*wirepb.WatchEvent {
	for _, object := range s.index.objectsOf(g, member) {
		events = s.addObject(events, object)
	}
	return events
}

func (s *Subset) addObject(events []*wirepb.WatchEvent, object *wirepb.Object) []*wirepb.WatchEvent {
	key := state.KeyOf(object)
	if _, known := s.known[key]; known {
		return events
	}
	s.markKnown(key)
	return append(events, &wirepb.WatchEvent{Object: object})
}

// candidate is a member that is not selected.
type candidate struct {
	name      string
	usable    bool
	proximity places.Proximity
	weight    uint64
}

// ranked returns the members that are not selected in order of preference: usable ones first, by
// proximity, with some from other zones interleaved.
func (s *Subset) ranked(g *group, selected []string) []string {
	isSelected := make(map[string]bool, len(selected))
	for _, member := range selected {
		isSelected[member] = true
	}
	candidates := make([]candidate, 0, len(g.members))
	for member, host := range g.members {
		if !isSelected[member] {
			candidates = append(candidates, candidate{
				name: member, usable: s.index.isUsable(host), proximity: s.location.ProximityOf(host.spec.Zone),
				weight: xxhash.Sum64String(s.location.Zone + "\x00" + member),
			})
		}
	}
	g.examined += len(candidates)
	slices.SortFunc(candidates, byPreference)
	return interleaveZones(candidates)
}

func byPreference(left, right candidate) int {
	switch {
	case left.usable && !right.usable:
		return -1
	case right.usable && !left.usable:
		return 1
	}
	return cmp.Or(cmp.Compare(left.proximity, right.proximity), cmp.Compare(right.weight, left.weight), cmp.Compare(left.name, right.name))
}

// interleaveZones inserts a candidate from outside the node's zone at each otherZoneInterval, as long
// as there are usable candidates of both kinds.
func interleaveZones(sorted []candidate) []string {
	firstOutside := 0
	for firstOutside < len(sorted) && sorted[firstOutside].usable && sorted[firstOutside].proximity == places.SameZone {
		firstOutside++
	}
	inside, outside := 0, firstOutside
	names := make([]string, 0, len(sorted))
	for inside < firstOutside || outside < len(sorted) {
		outsideDue := len(names)%otherZoneInterval == otherZoneInterval-1
		takesOutside := outside < len(sorted) && (inside == firstOutside || sorted[outside].usable && outsideDue)
		if takesOutside {
			names = append(names, sorted[outside].name)
			outside++
			continue
		}
		names = append(names, sorted[inside].name)
		inside++
	}
	return names
}

// Common returns the changes that are sent to every node.
func Common(events []*wirepb.WatchEvent) []*wirepb.WatchEvent {
	var common []*wirepb.WatchEvent
	for _, event := range events {
		if !isSubsetKind(v1.Kind(event.GetObject().GetKind())) {
			common = append(common, event)
		}
	}
	return common
}
