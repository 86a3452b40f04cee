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

// How many members of a group a node learns of to begin with. They bound what a node holds, in
// objects of about a kilobyte: with 50 busy versions, 250 rare ones and 700 adapters some 3,000.
const (
	// replicasPerVersion are enough for the requests of a zone's routers to one version: at 10
	// slots each, 320 at a time.
	replicasPerVersion = 32
	// replicasPerAdapter are fewer: an adapter is seldom loaded in many places, and quickly in one
	// more.
	replicasPerAdapter = 4
	// fixedPerPool are as many as replicas of a version, for the same reason.
	fixedPerPool = 32
	// enginesPerPool show that a pool has machines in a region; one may be lost.
	enginesPerPool = 2
	// elsewhereShare is the part of these bounds for other regions than the node's own. Requests
	// go there when nothing nearer can take them.
	elsewhereShare = 4
	// outsideShare is of how many members one stands outside of the node's zone, where there are any:
	// when a zone is lost, its neighbours' routers and those that are left in it have others to turn
	// to before they have learnt of any.
	outsideShare = 4
)

// firstLimits are the bounds by kind of group.
var firstLimits = [...]int{
	versionGroup: replicasPerVersion, adapterGroup: replicasPerAdapter, fixedGroup: fixedPerPool, engineGroup: enginesPerPool,
}

// Subset is what one node knows of machines and replicas.
type Subset struct {
	index      *Index
	generation uint64
	position   places.Location
	// known are the machines and replicas that the node has learnt of and that were not deleted.
	known map[state.Key]struct{}
	// chosen are the members of each group that were chosen, also those that are no longer.
	chosen map[*group][]string
	// limits are the bounds that were raised.
	limits map[*group]int
	// seen is the number of the first change of a group that was not looked at.
	seen int
	// sharers were learnt of since the last Update: they are at addresses of known machines.
	sharers []*wirepb.WatchEvent
	// machines counts changes of the known machines.
	machines uint64
}

// Subset returns a subset of a node that knows nothing yet.
func (x *Index) Subset(position places.Location) *Subset {
	return &Subset{
		index: x, generation: x.generation, position: position, known: map[state.Key]struct{}{},
		chosen: map[*group][]string{}, limits: map[*group]int{}, seen: -1,
	}
}

// Expired reports whether the index was replaced as a whole: the node must list anew.
func (s *Subset) Expired() bool { return s.generation != s.index.generation }

// Clone returns a copy for another node at the same place. The lists of chosen members are shared:
// choose makes them anew and writes to none that is kept.
func (s *Subset) Clone() *Subset {
	copied := *s
	copied.known, copied.chosen, copied.limits = maps.Clone(s.known), maps.Clone(s.chosen), maps.Clone(s.limits)
	return &copied
}

// KnowsMachine reports whether the node has learnt of a machine.
func (s *Subset) KnowsMachine(name string) bool {
	_, known := s.known[state.Key{Kind: v1.KindMachine, Name: name}]
	return known
}

// EachMachine calls visit for every machine that the node has learnt of, in no order.
func (s *Subset) EachMachine(visit func(name string)) {
	for key := range s.known {
		if key.Kind == v1.KindMachine {
			visit(key.Name)
		}
	}
}

// MachineChanges counts the changes of what KnowsMachine reports.
func (s *Subset) MachineChanges() uint64 { return s.machines }

// Filter returns those of some changes, in order, that concern the node. The index must not be
// behind them.
func (s *Subset) Filter(events []*wirepb.WatchEvent) []*wirepb.WatchEvent {
	var concerned []*wirepb.WatchEvent
	for _, event := range events {
		key := state.KeyOf(event.GetObject())
		_, known := s.known[key]
		if known || !isSubject(key.Kind) {
			concerned = append(concerned, event)
		}
		switch {
		case known && event.GetDeleted():
			s.forget(key)
		case key.Kind == v1.KindMachine:
			s.learnSharers(key.Name)
		}
	}
	return concerned
}

// learnSharers notes the machines at a machine's address that the node has to learn, since it
// knows one of them.
func (s *Subset) learnSharers(name string) {
	held := s.index.machines[name]
	if held == nil || held.object == nil {
		return
	}
	sharers := s.index.endpoints[held.spec.Endpoint]
	if len(sharers) == 1 || !slices.ContainsFunc(sharers, s.KnowsMachine) {
		return
	}
	for _, sharer := range sharers {
		if other := s.index.machines[sharer]; other.isUsed() {
			s.sharers = s.learnObject(s.sharers, other.object)
		}
	}
}

// isSubject reports whether nodes learn of a part of the objects of a kind only.
func isSubject(kind v1.Kind) bool {
	return kind == v1.KindMachine || kind == v1.KindReplica
}

func (s *Subset) learn(key state.Key) {
	s.known[key] = struct{}{}
	if key.Kind == v1.KindMachine {
		s.machines++
	}
}

func (s *Subset) forget(key state.Key) {
	delete(s.known, key)
	if key.Kind == v1.KindMachine {
		s.machines++
	}
}

// Update chooses members for the groups that have changed since it was called last and returns
// the objects that the node has to learn, machines before their replicas. The index must be at
// the revision up to which the node's changes were filtered.
func (s *Subset) Update() []*wirepb.WatchEvent {
	learnt := s.sharers
	s.sharers = nil
	for _, of := range s.unseen() {
		learnt = s.choose(learnt, of)
	}
	s.seen = s.index.first + len(s.index.changed)
	return learnt
}

// unseen returns the groups that have changed since the last Update, each once.
func (s *Subset) unseen() []*group {
	if s.seen < s.index.first {
		return sortedGroups(s.index.groups)
	}
	var groups []*group
	listed := map[*group]bool{}
	for _, of := range s.index.changed[s.seen-s.index.first:] {
		if !listed[of] {
			groups, listed[of] = append(groups, of), true
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

// RaiseLimits doubles the bounds of a version, and of one of its adapters if that is named, where they
// keep members from a node whose requests wait. It reports whether any was raised; the next
// Update chooses.
func (s *Subset) RaiseLimits(version, adapter string) bool {
	raised := false
	for region := range s.index.regions {
		raised = s.raiseGroup(groupKey{kind: versionGroup, name: version, region: region}) || raised
		if adapter != "" {
			raised = s.raiseGroup(groupKey{kind: adapterGroup, name: version, adapter: adapter, region: region}) || raised
		}
	}
	return raised
}

func (s *Subset) raiseGroup(key groupKey) bool {
	of := s.index.groups[key]
	if of == nil || s.limitOf(of) >= len(of.members) {
		return false
	}
	s.limits[of] = 2 * s.limitOf(of)
	s.index.note(of)
	return true
}

// limitOf is how many members of a group the node learns of.
func (s *Subset) limitOf(of *group) int {
	if raised, is := s.limits[of]; is {
		return raised
	}
	limit := firstLimits[of.key.kind]
	if of.key.region != s.position.Zones.Region(s.position.Zone) {
		limit = max(1, limit/elsewhereShare)
	}
	return limit
}

// choose chooses further members of a group where too few of the chosen ones are usable.
func (s *Subset) choose(learnt []*wirepb.WatchEvent, of *group) []*wirepb.WatchEvent {
	limit := s.limitOf(of)
	usable := 0
	kept := s.chosen[of][:0:0]
	for _, member := range s.chosen[of] {
		on, is := of.members[member]
		if !is {
			continue
		}
		kept = append(kept, member)
		learnt = s.learnMember(learnt, of, member) // It may have been deleted and made again.
		if s.index.isUsable(on) {
			usable++
		}
	}
	of.examined += len(s.chosen[of])
	s.chosen[of] = kept
	if usable >= limit || len(kept) == len(of.members) {
		return learnt
	}
	for _, member := range s.inTurn(of, kept) {
		isUsable := s.index.isUsable(of.members[member])
		if !isUsable && (usable > 0 || len(s.chosen[of]) >= limit) || usable >= limit {
			break
		}
		if isUsable {
			usable++
		}
		s.chosen[of] = append(s.chosen[of], member)
		learnt = s.learnMember(learnt, of, member)
	}
	return learnt
}

// learnMember adds the objects of a member that the node has not learnt of.
func (s *Subset) learnMember(learnt []*wirepb.WatchEvent, of *group, member string) []*wirepb.WatchEvent {
	for _, object := range s.index.objectsOf(of, member) {
		learnt = s.learnObject(learnt, object)
	}
	return learnt
}

func (s *Subset) learnObject(learnt []*wirepb.WatchEvent, object *wirepb.Object) []*wirepb.WatchEvent {
	key := state.KeyOf(object)
	if _, known := s.known[key]; known {
		return learnt
	}
	s.learn(key)
	return append(learnt, &wirepb.WatchEvent{Object: object})
}

// candidate is a member of a group that was not chosen.
type candidate struct {
	name     string
	usable   bool
	nearness places.Proximity
	weight   uint64
}

// inTurn returns the members of a group that were not chosen, in the order in which they are to
// be: usable ones first, the nearest of them first, but for one in outsideShare.
func (s *Subset) inTurn(of *group, chosen []string) []string {
	isChosen := make(map[string]bool, len(chosen))
	for _, member := range chosen {
		isChosen[member] = true
	}
	candidates := make([]candidate, 0, len(of.members))
	for member, on := range of.members {
		if !isChosen[member] {
			candidates = append(candidates, candidate{
				name: member, usable: s.index.isUsable(on), nearness: s.position.ProximityOf(on.spec.Zone),
				weight: xxhash.Sum64String(s.position.Zone + "\x00" + member),
			})
		}
	}
	of.examined += len(candidates)
	slices.SortFunc(candidates, byPreference)
	return mixed(candidates)
}

func byPreference(left, right candidate) int {
	switch {
	case left.usable && !right.usable:
		return -1
	case right.usable && !left.usable:
		return 1
	}
	return cmp.Or(cmp.Compare(left.nearness, right.nearness), cmp.Compare(right.weight, left.weight), cmp.Compare(left.name, right.name))
}

// mixed lists sorted candidates with one from outside of the node's zone after each few inside,
// while there are usable ones of both.
func mixed(sorted []candidate) []string {
	firstOutside := 0
	for firstOutside < len(sorted) && sorted[firstOutside].usable && sorted[firstOutside].nearness == places.SameZone {
		firstOutside++
	}
	inside, outside := 0, firstOutside
	names := make([]string, 0, len(sorted))
	for inside < firstOutside || outside < len(sorted) {
		isTurn := len(names)%outsideShare == outsideShare-1
		takesOutside := outside < len(sorted) && (inside == firstOutside || sorted[outside].usable && isTurn)
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

// Common returns those of some changes that every node learns of.
func Common(events []*wirepb.WatchEvent) []*wirepb.WatchEvent {
	var common []*wirepb.WatchEvent
	for _, event := range events {
		if !isSubject(v1.Kind(event.GetObject().GetKind())) {
			common = append(common, event)
		}
	}
	return common
}
