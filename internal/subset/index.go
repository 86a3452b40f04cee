package subset

import (
	"encoding/json"
	"slices"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// maxRemembered bounds the changes of groups that an Index remembers for subsets that are brought
// up to date later: some for each group of a large fleet. A subset further behind looks at all.
const maxRemembered = 1 << 14

// groupKind tells what the members of a group have in common.
type groupKind byte

const (
	// versionGroup has the ready replicas of a version.
	versionGroup groupKind = iota
	// adapterGroup has the ready replicas that hold an adapter.
	adapterGroup
	// fixedGroup has the machines of a pool that serve by themselves.
	fixedGroup
	// engineGroup has the machines of a pool whose engines load models. Nodes need a few of them
	// to know that the pool has machines in a region.
	engineGroup
)

// groupKey names what a request may ask for in one region.
type groupKey struct {
	kind groupKind
	// name is a version's or a pool's.
	name    string
	adapter string
	region  string
}

// group holds the members that a node may learn of.
type group struct {
	key groupKey
	// members are machines, or replicas by their names; the machine that serves is the value.
	members map[string]*machine
	// examined counts the members that were looked at, for tests of what a change costs.
	examined int
}

// machine is what choosing needs of a Machine object.
type machine struct {
	object *wirepb.Object
	spec   *v1.MachineSpec
	phase  v1.MachinePhase
	// replicas are those on the machine, by name.
	replicas map[string]*replica
}

// isUsed reports whether a machine takes part: it is neither leaving nor gone.
func (m *machine) isUsed() bool {
	return m.object != nil && m.phase.IsInUse()
}

// replica is what choosing needs of a Replica object.
type replica struct {
	object   *wirepb.Object
	spec     *v1.ReplicaSpec
	adapters []string
}

// Index holds the machines and replicas of a state, by what requests may ask for.
type Index struct {
	places   places.ZoneMap
	revision uint64
	machines map[string]*machine
	replicas map[string]*replica
	// endpoints are the names of the machines by endpoint: addresses are used again.
	endpoints map[string][]string
	groups    map[groupKey]*group
	drained   map[string]bool
	// regions are those with members of any group.
	regions map[string]bool
	// generation counts how often everything was replaced.
	generation uint64
	// changed are the groups that changed, in order; the first of them is number first.
	changed []*group
	first   int
}

// NewIndex returns an index of nothing.
func NewIndex(zones places.ZoneMap) *Index {
	index := &Index{places: zones}
	index.clear()
	return index
}

func (x *Index) clear() {
	x.machines, x.replicas = map[string]*machine{}, map[string]*replica{}
	x.endpoints, x.groups = map[string][]string{}, map[groupKey]*group{}
	x.drained, x.regions = map[string]bool{}, map[string]bool{}
	x.generation++
	x.first, x.changed = x.first+len(x.changed)+1, nil
}

// Revision is that of the newest change applied.
func (x *Index) Revision() uint64 { return x.revision }

// Apply takes changes in order; with reset they are the whole state.
func (x *Index) Apply(events []*wirepb.WatchEvent, revision uint64, reset bool) {
	if reset {
		x.clear()
	}
	for _, event := range events {
		x.applyEvent(event)
	}
	x.revision = revision
	if excess := len(x.changed) - maxRemembered; excess > 0 {
		x.changed = slices.Clone(x.changed[excess:])
		x.first += excess
	}
}

func (x *Index) applyEvent(event *wirepb.WatchEvent) {
	object := event.GetObject()
	switch v1.Kind(object.GetKind()) {
	case v1.KindMachine:
		x.setMachine(object, event.GetDeleted())
	case v1.KindReplica:
		x.setReplica(object, event.GetDeleted())
	case v1.KindZoneDrain:
		spec := &v1.ZoneDrainSpec{}
		if !event.GetDeleted() && json.Unmarshal(object.GetSpec(), spec) != nil {
			spec.Drained = true // Of a later release: its machines are the last to be chosen.
		}
		x.setDrained(object.GetName(), spec.Drained)
	}
}

func (x *Index) setDrained(zone string, drained bool) {
	if x.drained[zone] == drained {
		return
	}
	x.drained[zone] = drained
	for _, held := range x.groups {
		x.note(held)
	}
}

func (x *Index) setMachine(object *wirepb.Object, deleted bool) {
	name := object.GetName()
	held := x.machine(name)
	x.unlistMachine(name, held)
	held.object, held.spec, held.phase = nil, nil, ""
	if !deleted {
		spec, err := v1.DecodeSpec(v1.KindMachine, object.GetSpec())
		typed, isMachine := spec.(*v1.MachineSpec)
		if err == nil && isMachine { // Others are of a later release, for nodes of that release.
			held.object, held.spec, held.phase = object, typed, v1.DecodeMachineStatus(object.GetStatus()).Phase
		}
	}
	x.listMachine(name, held)
	if held.object == nil && len(held.replicas) == 0 {
		delete(x.machines, name)
	}
}

// machine returns the entry of a name, which may be one of which only replicas are known.
func (x *Index) machine(name string) *machine {
	held := x.machines[name]
	if held == nil {
		held = &machine{replicas: map[string]*replica{}}
		x.machines[name] = held
	}
	return held
}

func (x *Index) setReplica(object *wirepb.Object, deleted bool) {
	name := object.GetName()
	if held := x.replicas[name]; held != nil {
		on := x.machine(held.spec.Machine)
		x.unlistReplica(name, held, on)
		delete(on.replicas, name)
		delete(x.replicas, name)
	}
	if deleted {
		return
	}
	spec, err := v1.DecodeSpec(v1.KindReplica, object.GetSpec())
	typed, isReplica := spec.(*v1.ReplicaSpec)
	if err != nil || !isReplica {
		return // Of a later release, for nodes of that release.
	}
	added := &replica{object: object, spec: typed, adapters: v1.ReplicaAdapters(object.GetStatus())}
	on := x.machine(typed.Machine)
	x.replicas[name], on.replicas[name] = added, added
	x.listReplica(name, added, on)
}

func (x *Index) listMachine(name string, held *machine) {
	if held.object == nil {
		return
	}
	x.endpoints[held.spec.Endpoint] = append(x.endpoints[held.spec.Endpoint], name)
	if held.spec.Pool != "" && held.isUsed() {
		x.add(x.poolKey(held), name, held)
	}
	for replicaName, on := range held.replicas {
		x.listReplica(replicaName, on, held)
	}
}

func (x *Index) unlistMachine(name string, held *machine) {
	if held.object == nil {
		return
	}
	x.remove(x.poolKey(held), name)
	for replicaName, on := range held.replicas {
		x.unlistReplica(replicaName, on, held)
	}
	others := slices.DeleteFunc(slices.Clone(x.endpoints[held.spec.Endpoint]), func(other string) bool { return other == name })
	if len(others) == 0 {
		delete(x.endpoints, held.spec.Endpoint)
		return
	}
	x.endpoints[held.spec.Endpoint] = others
}

func (x *Index) poolKey(held *machine) groupKey {
	kind := fixedGroup
	if held.spec.Accelerators > 0 {
		kind = engineGroup
	}
	return groupKey{kind: kind, name: held.spec.Pool, region: x.places.Region(held.spec.Zone)}
}

func (x *Index) listReplica(name string, held *replica, on *machine) {
	if held.spec.Phase != v1.ReplicaReady || !on.isUsed() {
		return
	}
	region := x.places.Region(on.spec.Zone)
	x.add(groupKey{kind: versionGroup, name: held.spec.Version, region: region}, name, on)
	for _, adapter := range held.adapters {
		x.add(groupKey{kind: adapterGroup, name: held.spec.Version, adapter: adapter, region: region}, name, on)
	}
}

func (x *Index) unlistReplica(name string, held *replica, on *machine) {
	if on.object == nil {
		return
	}
	region := x.places.Region(on.spec.Zone)
	x.remove(groupKey{kind: versionGroup, name: held.spec.Version, region: region}, name)
	for _, adapter := range held.adapters {
		x.remove(groupKey{kind: adapterGroup, name: held.spec.Version, adapter: adapter, region: region}, name)
	}
}

func (x *Index) add(key groupKey, name string, on *machine) {
	held := x.groups[key]
	if held == nil {
		held = &group{key: key, members: map[string]*machine{}}
		x.groups[key] = held
	}
	held.members[name] = on
	x.regions[key.region] = true
	x.note(held)
}

// remove takes a member out; an empty group stays, since subsets may refer to it. There are no
// more groups than versions, adapters and pools.
func (x *Index) remove(key groupKey, name string) {
	held := x.groups[key]
	if held == nil {
		return
	}
	if _, member := held.members[name]; member {
		delete(held.members, name)
		x.note(held)
	}
}

// note remembers that a group has changed.
func (x *Index) note(changed *group) {
	x.changed = append(x.changed, changed)
}

// isUsable reports whether a member may get requests now.
func (x *Index) isUsable(on *machine) bool {
	return on.object != nil && on.phase == v1.MachineLive && !on.spec.Drain && !x.drained[on.spec.Zone]
}

// objectsOf returns what a node has to learn to use a member: its machine, the other machines in
// use at the same address, which tell that the address is in doubt, and the replica.
func (x *Index) objectsOf(of *group, member string) []*wirepb.Object {
	on := of.members[member]
	var objects []*wirepb.Object
	for _, name := range x.endpoints[on.spec.Endpoint] {
		if other := x.machines[name]; other == on || other.isUsed() {
			objects = append(objects, other.object)
		}
	}
	if held := x.replicas[member]; held != nil && (of.key.kind == versionGroup || of.key.kind == adapterGroup) {
		objects = append(objects, held.object)
	}
	return objects
}
