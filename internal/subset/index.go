package subset

import (
	"encoding/json"
	"slices"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// maxRememberedChanges bounds the group changes that an Index keeps for subsets that are updated later.
// A subset that missed older changes examines all groups.
const maxRememberedChanges = 1 << 14

// groupKind is the kind of members in a group.
type groupKind byte

const (
	// versionGroup has the ready replicas of a version.
	versionGroup groupKind = iota
	// adapterGroup has the ready replicas that hold an adapter.
	adapterGroup
	// fixedGroup has the machines of a pool without engines.
	fixedGroup
	// engineGroup has the machines of a pool with engines. Nodes need a few of them to know that the
	// pool has machines in a region.
	engineGroup
)

type groupKey struct {
	kind groupKind
	// name is a version or a pool.
	name    string
	adapter string
	region  string
}

// group has the members that can serve a kind of request in one region.
type group struct {
	key groupKey
	// members maps the names of replicas or machines to the machines that serve.
	members map[string]*machine
	// examined counts the members that were examined by subsets, for tests.
	examined int
}

// machine is the indexed part of a Machine object.
type machine struct {
	object *wirepb.Object
	spec   *v1.MachineSpec
	phase  v1.MachinePhase
	// replicas are the replicas on the machine by name.
	replicas map[string]*replica
}

func (m *machine) isInUse() bool {
	return m.object != nil && m.phase.IsInUse()
}

// replica is the indexed part of a Replica object.
type replica struct {
	object   *wirepb.Object
	spec     *v1.ReplicaSpec
	adapters []string
}

// Index has the machines and replicas of a state by group.
type Index struct {
	places   places.ZoneMap
	revision uint64
	machines map[string]*machine
	replicas map[string]*replica
	// endpoints has the names of the machines at each endpoint, since endpoints are reused.
	endpoints map[string][]string
	groups    map[groupKey]*group
	drained   map[string]bool
	// regions has the regions in which any group ever had members.
	regions map[string]bool
	// generation counts the replacements of the whole state.
	generation uint64
	// changed has the recently changed groups in order; first is the number of the first one.
	changed []*group
	first   int
}

// NewIndex returns an empty index.
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

// Revision returns the revision of the newest applied change.
func (x *Index) Revision() uint64 { return x.revision }

// Apply applies changes in order. With reset, they are the whole state.
func (x *Index) Apply(events []*wirepb.WatchEvent, revision uint64, reset bool) {
	if reset {
		x.clear()
	}
	for _, event := range events {
		x.applyEvent(event)
	}
	x.revision = revision
	if excess := len(x.changed) - maxRememberedChanges; excess > 0 {
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
			spec.Drained = true // From a later release: treated as drained, so that its machines are selected last.
		}
		x.setDrained(object.GetName(), spec.Drained)
	}
}

func (x *Index) setDrained(zone string, drained bool) {
	if x.drained[zone] == drained {
		return
	}
	x.drained[zone] = drained
	for _, g := range x.groups {
		x.markChanged(g)
	}
}

func (x *Index) setMachine(object *wirepb.Object, deleted bool) {
	name := object.GetName()
	entry := x.machine(name)
	x.unindexMachine(name, entry)
	entry.object, entry.spec, entry.phase = nil, nil, ""
	if !deleted {
		spec, err := v1.DecodeSpec(v1.KindMachine, object.GetSpec())
		typed, isMachine := spec.(*v1.MachineSpec)
		if err == nil && isMachine { // Other specs are from a later release and not for this one.
			entry.object, entry.spec, entry.phase = object, typed, v1.DecodeMachineStatus(object.GetStatus()).Phase
		}
	}
	x.indexMachine(name, entry)
	if entry.object == nil && len(entry.replicas) == 0 {
		delete(x.machines, name)
	}
}

// machine returns the entry of a machine, which is added if needed: replicas may arrive before their
// machine.
func (x *Index) machine(name string) *machine {
	entry := x.machines[name]
	if entry == nil {
		entry = &machine{replicas: map[string]*replica{}}
		x.machines[name] = entry
	}
	return entry
}

func (x *Index) setReplica(object *wirepb.Object, deleted bool) {
	name := object.GetName()
	if previous := x.replicas[name]; previous != nil {
		host := x.machine(previous.spec.Machine)
		x.unindexReplica(name, previous, host)
		delete(host.replicas, name)
		delete(x.replicas, name)
	}
	if deleted {
		return
	}
	spec, err := v1.DecodeSpec(v1.KindReplica, object.GetSpec())
	typed, isReplica := spec.(*v1.ReplicaSpec)
	if err != nil || !isReplica {
		return // From a later release and not for this one.
	}
	added := &replica{object: object, spec: typed, adapters: v1.ReplicaAdapters(object.GetStatus())}
	host := x.machine(typed.Machine)
	x.replicas[name], host.replicas[name] = added, added
	x.indexReplica(name, added, host)
}

func (x *Index) indexMachine(name string, entry *machine) {
	if entry.object == nil {
		return
	}
	x.endpoints[entry.spec.Endpoint] = append(x.endpoints[entry.spec.Endpoint], name)
	if entry.spec.Pool != "" && entry.isInUse() {
		x.add(x.poolKey(entry), name, entry)
	}
	for replicaName, added := range entry.replicas {
		x.indexReplica(replicaName, added, entry)
	}
}

func (x *Index) unindexMachine(name string, entry *machine) {
	if entry.object == nil {
		return
	}
	x.remove(x.poolKey(entry), name)
	for replicaName, added := range entry.replicas {
		x.unindexReplica(replicaName, added, entry)
	}
	others := slices.DeleteFunc(slices.Clone(x.endpoints[entry.spec.Endpoint]), func(other string) bool { return other == name })
	if len(others) == 0 {
		delete(x.endpoints, entry.spec.Endpoint)
		return
	}
	x.endpoints[entry.spec.Endpoint] = others
}

func (x *Index) poolKey(entry *machine) groupKey {
	kind := fixedGroup
	if entry.spec.Accelerators > 0 {
		kind = engineGroup
	}
	return groupKey{kind: kind, name: entry.spec.Pool, region: x.places.Region(entry.spec.Zone)}
}

func (x *Index) indexReplica(name string, entry *replica, host *machine) {
	if entry.spec.Phase != v1.ReplicaReady || !host.isInUse() {
		return
	}
	region := x.places.Region(host.spec.Zone)
	x.add(groupKey{kind: versionGroup, name: entry.spec.Version, region: region}, name, host)
	for _, adapter := range entry.adapters {
		x.add(groupKey{kind: adapterGroup, name: entry.spec.Version, adapter: adapter, region: region}, name, host)
	}
}

func (x *Index) unindexReplica(name string, entry *replica, host *machine) {
	if host.object == nil {
		return
	}
	region := x.places.Region(host.spec.Zone)
	x.remove(groupKey{kind: versionGroup, name: entry.spec.Version, region: region}, name)
	for _, adapter := range entry.adapters {
		x.remove(groupKey{kind: adapterGroup, name: entry.spec.Version, adapter: adapter, region: region}, name)
	}
}

func (x *Index) add(key groupKey, name string, host *machine) {
	g := x.groups[key]
	if g == nil {
		g = &group{key: key, members: map[string]*machine{}}
		x.groups[key] = g
	}
	g.members[name] = host
	x.regions[key.region] = true
	x.markChanged(g)
}

// remove removes a member. Empty groups are kept, since subsets may refer to them; their number is
// bounded by the versions, adapters and pools.
func (x *Index) remove(key groupKey, name string) {
	g := x.groups[key]
	if g == nil {
		return
	}
	if _, member := g.members[name]; member {
		delete(g.members, name)
		x.markChanged(g)
	}
}

func (x *Index) markChanged(g *group) {
	x.changed = append(x.changed, g)
}

// isUsable reports whether a member may receive requests.
func (x *Index) isUsable(host *machine) bool {
	return host.object != nil && host.phase == v1.MachineLive && !host.spec.Drain && !x.drained[host.spec.Zone]
}

// objectsOf returns the objects needed to use a member: its machine, other machines in use at the same
// endpoint, and its replica.
func (x *Index) objectsOf(g *group, member string) []*wirepb.Object {
	host := g.members[member]
	var objects []*wirepb.Object
	for _, name := range x.endpoints[host.spec.Endpoint] {
		if other := x.machines[name]; other == host || other.isInUse() {
			objects = append(objects, other.object)
		}
	}
	if entry := x.replicas[member]; entry != nil && (g.key.kind == versionGroup || g.key.kind == adapterGroup) {
		objects = append(objects, entry.object)
	}
	return objects
}
