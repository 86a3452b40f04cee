// Package nodeview is a node's copy of the declared and decided state, typed
// for lookups on the request path.
//
// Invariant: the revision never goes down, and an object is never replaced by
// an older version of itself, whichever server the changes come from. A node
// that has just started is not current, and must not serve, before it has
// applied what the leader held after it started.
package nodeview

import (
	"context"
	"sync"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/quarantine"
	"github.com/weldline/weldline/internal/signal"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// Replica is a decided replica.
type Replica struct {
	Object *wirepb.Object
	Spec   *v1.ReplicaSpec
	// Adapters are those that the replica holds.
	Adapters []string
}

// Machine is a declared machine.
type Machine struct {
	Object *wirepb.Object
	Spec   *v1.MachineSpec
	Status v1.MachineStatus
}

// Target is what a model name that a caller used stands for.
type Target struct {
	Model   string
	Version string
	// Adapter is empty where the base model itself was named.
	Adapter string
	Spec    *v1.ModelVersionSpec
}

// View implements feed.Sink.
type View struct {
	// position is where the node stands.
	position places.Location
	mutex    sync.RWMutex
	revision uint64
	objects  map[state.Key]*wirepb.Object
	specs    map[state.Key]v1.Spec
	machines map[string]Machine
	// atEndpoint are the machines by their endpoints, then by name: addresses are used again.
	atEndpoint map[string]map[string]Machine
	// regions counts the machines of each pool by region.
	regions regionCounts
	// replicas are grouped by version; replicasOn by machine.
	replicas   map[string]map[string]Replica
	replicasOn map[string]map[string]Replica
	// decidedFor is the revision of the newest decision for each machine.
	decidedFor map[string]uint64
	// services lists, for each model, the services that offer it.
	services map[string]map[string]*v1.ServiceSpec
	limits   map[string]map[string]*v1.LimitSpec
	tenants  map[string]*v1.TenantSpec
	routes   map[string]*v1.RouteSpec
	// dirtyRoutes is set while routes have changed since they were taken last.
	dirtyRoutes bool
	// dirtyTargets names the replicas, and the machines without engines, whose targets may
	// have changed since they were taken last; allTargets stands for all.
	dirtyTargets map[string]bool
	allTargets   bool
	// keyHolders are the tenants' names, by the hashes of their keys.
	keyHolders map[v1.KeyHash]string
	// warmingPools has the pools whose machines warm up.
	warmingPools map[string]bool
	// zoneDrains are the orders about zones, by zone.
	zoneDrains map[string]ZoneDrain
	// suspects are the requests under which machines ended.
	suspects map[quarantine.Identity]*v1.SuspectSpec

	digest      *wirepb.ClusterDigest
	firstDigest *wirepb.ClusterDigest
	// confirmed is a revision that the leader held after the node started.
	confirmed   uint64
	isConfirmed bool
	current     bool

	changed       *signal.Broadcast
	digestChanged *signal.Broadcast
}

// New returns an empty view of a node that knows of no zones.
func New() *View {
	return NewAt(places.Location{})
}

// Region is where the node stands; empty where that is not known.
func (v *View) Region() string {
	return v.position.Zones.Region(v.position.Zone)
}

// NewAt returns an empty view of a node.
func NewAt(position places.Location) *View {
	view := &View{position: position, changed: signal.New(), digestChanged: signal.New()}
	view.clear()
	return view
}

func (v *View) clear() {
	v.objects = map[state.Key]*wirepb.Object{}
	v.specs = map[state.Key]v1.Spec{}
	v.machines = map[string]Machine{}
	v.atEndpoint = map[string]map[string]Machine{}
	v.regions = regionCounts{}
	v.replicas = map[string]map[string]Replica{}
	v.replicasOn = map[string]map[string]Replica{}
	v.decidedFor = map[string]uint64{}
	v.services = map[string]map[string]*v1.ServiceSpec{}
	v.limits = map[string]map[string]*v1.LimitSpec{}
	v.tenants = map[string]*v1.TenantSpec{}
	v.keyHolders = map[v1.KeyHash]string{}
	v.suspects = map[quarantine.Identity]*v1.SuspectSpec{}
	v.zoneDrains = map[string]ZoneDrain{}
	v.warmingPools = map[string]bool{}
	v.routes, v.dirtyRoutes = map[string]*v1.RouteSpec{}, true
	v.dirtyTargets, v.allTargets = map[string]bool{}, true
}

// Revision implements feed.Sink.
func (v *View) Revision() uint64 {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.revision
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	return v.changed.Wait()
}

// DigestChanged returns a channel that is closed at the next digest.
func (v *View) DigestChanged() <-chan struct{} {
	return v.digestChanged.Wait()
}

// FollowDigests calls take with each digest until ctx ends.
func (v *View) FollowDigests(ctx context.Context, take func(digest *wirepb.ClusterDigest)) {
	for {
		changed := v.DigestChanged()
		if digest := v.Digest(); digest != nil {
			take(digest)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Apply implements feed.Sink.
func (v *View) Apply(changes feed.Changes) {
	v.mutex.Lock()
	defer v.changed.Notify()
	defer v.mutex.Unlock()
	if changes.Revision < v.revision {
		return
	}
	if changes.Reset {
		v.clear()
	}
	for _, event := range changes.Events {
		v.applyEvent(event)
	}
	v.revision = changes.Revision
	v.updateCurrent()
}

func (v *View) applyEvent(event *wirepb.WatchEvent) {
	object := event.GetObject()
	key := state.KeyOf(object)
	if held := v.objects[key]; held != nil {
		if object.GetRevision() <= held.GetRevision() {
			return
		}
		v.markTargets(key)
		v.unindex(key, held)
		if replica, isReplica := v.specs[key].(*v1.ReplicaSpec); isReplica {
			v.decidedFor[replica.Machine] = object.GetRevision()
		}
	}
	if event.GetDeleted() {
		delete(v.objects, key)
		delete(v.specs, key)
		return
	}
	spec, err := v1.DecodeSpec(key.Kind, object.GetSpec())
	if err != nil {
		return // Of a later release; this node can't use it.
	}
	v.objects[key] = object
	v.specs[key] = spec
	v.index(object, spec)
	v.markTargets(key)
}

func addTo[T any](groups map[string]map[string]T, group, name string, value T) {
	if groups[group] == nil {
		groups[group] = map[string]T{}
	}
	groups[group][name] = value
}

func removeFrom[T any](groups map[string]map[string]T, group, name string) {
	delete(groups[group], name)
	if len(groups[group]) == 0 {
		delete(groups, group)
	}
}

func (v *View) index(object *wirepb.Object, spec v1.Spec) {
	name := object.GetName()
	switch typed := spec.(type) {
	case *v1.MachineSpec:
		machine := Machine{Object: object, Spec: typed, Status: v1.DecodeMachineStatus(object.GetStatus())}
		v.machines[name] = machine
		addTo(v.atEndpoint, typed.Endpoint, name, machine)
		v.countMachine(machine, 1)
	case *v1.ReplicaSpec:
		replica := Replica{Object: object, Spec: typed, Adapters: v1.ReplicaAdapters(object.GetStatus())}
		addTo(v.replicas, typed.Version, name, replica)
		addTo(v.replicasOn, typed.Machine, name, replica)
		v.decidedFor[typed.Machine] = max(v.decidedFor[typed.Machine], object.GetRevision())
	case *v1.ServiceSpec:
		for _, model := range typed.Models {
			addTo(v.services, model, name, typed)
		}
	case *v1.LimitSpec:
		addTo(v.limits, typed.Service, name, typed)
	case *v1.TenantSpec:
		v.addTenant(name, typed)
	case *v1.RouteSpec:
		v.routes[name], v.dirtyRoutes = typed, true
	case *v1.SuspectSpec:
		v.addSuspect(name, typed)
	case *v1.ZoneDrainSpec:
		v.zoneDrains[name] = zoneDrainOf(object, typed)
	case *v1.PoolSpec:
		if typed.Warming != nil {
			v.warmingPools[name] = true
		}
	}
}

func (v *View) unindex(key state.Key, held *wirepb.Object) {
	name := held.GetName()
	switch typed := v.specs[key].(type) {
	case *v1.MachineSpec:
		v.countMachine(v.machines[name], -1)
		delete(v.machines, name)
		removeFrom(v.atEndpoint, typed.Endpoint, name)
	case *v1.ReplicaSpec:
		removeFrom(v.replicas, typed.Version, name)
		removeFrom(v.replicasOn, typed.Machine, name)
	case *v1.ServiceSpec:
		for _, model := range typed.Models {
			removeFrom(v.services, model, name)
		}
	case *v1.LimitSpec:
		removeFrom(v.limits, typed.Service, name)
	case *v1.TenantSpec:
		v.removeTenant(name, typed)
	case *v1.RouteSpec:
		delete(v.routes, name)
		v.dirtyRoutes = true
	case *v1.SuspectSpec:
		v.removeSuspect(name)
	case *v1.ZoneDrainSpec:
		delete(v.zoneDrains, name)
	case *v1.PoolSpec:
		delete(v.warmingPools, name)
	}
}

// TakeDigest implements feed.Sink. Older digests are ignored.
func (v *View) TakeDigest(digest *wirepb.ClusterDigest) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.digest != nil && !feed.Newer(digest, v.digest) {
		return
	}
	if v.firstDigest == nil {
		v.firstDigest = digest
	}
	v.digest = digest
	v.updateCurrent()
	v.digestChanged.Notify()
}

// updateCurrent marks the view as current once it holds what the leader held
// after the node started. The first digest may have been kept by a server
// since long before; one that came later was sent later.
func (v *View) updateCurrent() {
	if v.isConfirmed && v.revision >= v.confirmed {
		v.current = true
	}
	if v.current || v.digest == nil || !feed.Newer(v.digest, v.firstDigest) {
		return
	}
	v.current = v.revision >= v.digest.GetRevision()
}

// Confirm takes a revision that the leader held after the node started.
func (v *View) Confirm(revision uint64) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.confirmed, v.isConfirmed = revision, true
	v.updateCurrent()
	v.changed.Notify()
}

// Current reports whether the node may serve.
func (v *View) Current() bool {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.current
}

// Digest returns the newest soft state, or nil.
func (v *View) Digest() *wirepb.ClusterDigest {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.digest
}

// Resolve returns what a model or adapter name stands for.
func (v *View) Resolve(name string) (Target, bool) {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	target := Target{Model: name}
	if adapter, isAdapter := v.specs[state.Key{Kind: v1.KindAdapter, Name: name}].(*v1.AdapterSpec); isAdapter {
		target.Adapter = name
		target.Model = adapter.Model
	}
	model, exists := v.specs[state.Key{Kind: v1.KindModel, Name: target.Model}].(*v1.ModelSpec)
	if !exists {
		return Target{}, false
	}
	target.Version = model.DefaultVersion
	target.Spec, exists = v.specs[state.Key{Kind: v1.KindModelVersion, Name: target.Version}].(*v1.ModelVersionSpec)
	return target, exists
}

// Service returns a declared service, or nil.
func (v *View) Service(name string) *v1.ServiceSpec {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	service, _ := v.specs[state.Key{Kind: v1.KindService, Name: name}].(*v1.ServiceSpec)
	return service
}

// ServiceOf returns the service that offers a model: the named one, or the
// first by name where none is named.
func (v *View) ServiceOf(model, named string) (string, *v1.ServiceSpec) {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	if named != "" {
		return named, v.services[model][named]
	}
	first := ""
	for name := range v.services[model] {
		if first == "" || name < first {
			first = name
		}
	}
	return first, v.services[model][first]
}

// Limits returns the limits of a service by name.
func (v *View) Limits(service string) map[string]*v1.LimitSpec {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	limits := make(map[string]*v1.LimitSpec, len(v.limits[service]))
	for name, limit := range v.limits[service] {
		limits[name] = limit
	}
	return limits
}

// Models lists the names that callers may use.
func (v *View) Models() []string {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	var names []string
	for key := range v.objects {
		if key.Kind == v1.KindModel || key.Kind == v1.KindAdapter {
			names = append(names, key.Name)
		}
	}
	return names
}

// EachMachine calls visit for every machine.
func (v *View) EachMachine(visit func(name string, machine Machine)) {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	for name, machine := range v.machines {
		visit(name, machine)
	}
}

// Machine returns one machine.
func (v *View) Machine(name string) (Machine, bool) {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	machine, found := v.machines[name]
	return machine, found
}

// ReplicasOn returns the replicas decided for a machine, and the revision.
func (v *View) ReplicasOn(machine string) ([]Replica, uint64) {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	replicas := make([]Replica, 0, len(v.replicasOn[machine]))
	for _, replica := range v.replicasOn[machine] {
		replicas = append(replicas, replica)
	}
	return replicas, v.revision
}

// DecisionRevision returns the revision of the newest decision about a replica on a
// machine; 0 if there was none.
func (v *View) DecisionRevision(machine string) uint64 {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.decidedFor[machine]
}

// EachReady calls visit for every replica that may get requests: ready, on a
// machine that is neither leaving nor lost nor in a drained zone.
func (v *View) EachReady(visit func(replica Replica, machine Machine)) {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	v.eachReady(func(replica Replica, machine Machine) {
		if !v.isDrained(machine) {
			visit(replica, machine)
		}
	})
}

// eachReady is EachReady with the replicas in drained zones; the mutex must be held.
func (v *View) eachReady(visit func(replica Replica, machine Machine)) {
	for _, group := range v.replicas {
		for _, replica := range group {
			machine, found := v.machines[replica.Spec.Machine]
			if !found || replica.Spec.Phase != v1.ReplicaReady {
				continue
			}
			if machine.Status.Phase == v1.MachineLive && !machine.Spec.Drain {
				visit(replica, machine)
			}
		}
	}
}

// Each calls visit for every object, in no order.
func (v *View) Each(visit func(object *wirepb.Object)) {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	for _, object := range v.objects {
		visit(object)
	}
}

// EachService calls visit for every declared service.
func (v *View) EachService(visit func(name string, service *v1.ServiceSpec)) {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	for key, spec := range v.specs {
		if service, isService := spec.(*v1.ServiceSpec); isService {
			visit(key.Name, service)
		}
	}
}
