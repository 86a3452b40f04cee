// Package nodeview is a node's copy of the replicated state, indexed for lookups on the request path.
//
// Invariants: the revision never decreases, and an object is never replaced by an older version of
// itself, regardless of the server that changes come from. A started node is not current, and must not
// serve, before it has applied a revision that the leader held after the start.
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

// Replica is a replica record with its decoded spec and the adapters loaded on it.
type Replica struct {
	Object   *wirepb.Object
	Spec     *v1.ReplicaSpec
	Adapters []string
}

// Machine is a machine's record with its decoded spec and status.
type Machine struct {
	Object *wirepb.Object
	Spec   *v1.MachineSpec
	Status v1.MachineStatus
}

// Target is what a model name in a request refers to.
type Target struct {
	Model   string
	Version string
	// Adapter is empty if the name is that of a model.
	Adapter string
	Spec    *v1.ModelVersionSpec
}

// View is a node's copy of the replicated state. It implements feed.Sink and is safe for concurrent
// use.
type View struct {
	location places.Location
	mutex    sync.RWMutex
	revision uint64
	objects  map[state.Key]*wirepb.Object
	specs    map[state.Key]v1.Spec
	machines map[string]Machine
	// byEndpoint has the machines at each endpoint by name, since endpoints are reused.
	byEndpoint map[string]map[string]Machine
	regions    regionCounts
	// replicas are grouped by version, replicasOn by machine.
	replicas   map[string]map[string]Replica
	replicasOn map[string]map[string]Replica
	// decisionRevisions has the revision of the newest replica decision for each machine.
	decisionRevisions map[string]uint64
	// services has the services that offer each model.
	services map[string]map[string]*v1.ServiceSpec
	limits   map[string]map[string]*v1.LimitSpec
	tenants  map[string]*v1.TenantSpec
	routes   map[string]*v1.RouteSpec
	// dirtyRoutes is set if routes have changed since the last TakeRoutes.
	dirtyRoutes bool
	// dirtyTargets has the replicas, and machines without engines, whose targets may have changed since
	// the last TakeTargetChanges. With allTargets, all of them may have.
	dirtyTargets map[string]bool
	allTargets   bool
	// tenantsByKey maps the hashes of keys to the names of their tenants.
	tenantsByKey map[v1.KeyHash]string
	// warmingPools has the pools whose machines warm up.
	warmingPools map[string]bool
	// zoneDrains has the newest drain order of each zone.
	zoneDrains map[string]ZoneDrain
	// suspects has the records of crashes under requests and prompt parts.
	suspects map[quarantine.Identity]*v1.SuspectSpec

	digest      *wirepb.ClusterDigest
	firstDigest *wirepb.ClusterDigest
	// confirmed is a revision that the leader held after the node started, if isConfirmed is set.
	confirmed   uint64
	isConfirmed bool
	current     bool

	changed       *signal.Broadcast
	digestChanged *signal.Broadcast
}

// New returns an empty view without zones.
func New() *View {
	return NewAt(places.Location{})
}

// Region returns the node's region, or an empty string if it is unknown.
func (v *View) Region() string {
	return v.location.Zones.Region(v.location.Zone)
}

// Location returns the node's location.
func (v *View) Location() places.Location { return v.location }

// NewAt returns an empty view of a node at a location.
func NewAt(location places.Location) *View {
	view := &View{location: location, changed: signal.New(), digestChanged: signal.New()}
	view.clear()
	return view
}

func (v *View) clear() {
	v.objects = map[state.Key]*wirepb.Object{}
	v.specs = map[state.Key]v1.Spec{}
	v.machines = map[string]Machine{}
	v.byEndpoint = map[string]map[string]Machine{}
	v.regions = regionCounts{}
	v.replicas = map[string]map[string]Replica{}
	v.replicasOn = map[string]map[string]Replica{}
	v.decisionRevisions = map[string]uint64{}
	v.services = map[string]map[string]*v1.ServiceSpec{}
	v.limits = map[string]map[string]*v1.LimitSpec{}
	v.tenants = map[string]*v1.TenantSpec{}
	v.tenantsByKey = map[v1.KeyHash]string{}
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
	if previous := v.objects[key]; previous != nil {
		if object.GetRevision() <= previous.GetRevision() {
			return
		}
		v.markTargetsDirty(key)
		v.unindex(key, previous)
		if replica, isReplica := v.specs[key].(*v1.ReplicaSpec); isReplica {
			v.decisionRevisions[replica.Machine] = object.GetRevision()
		}
	}
	if event.GetDeleted() {
		delete(v.objects, key)
		delete(v.specs, key)
		return
	}
	spec, err := v1.DecodeSpec(key.Kind, object.GetSpec())
	if err != nil {
		return // From a later release and not for this one.
	}
	v.objects[key] = object
	v.specs[key] = spec
	v.index(object, spec)
	v.markTargetsDirty(key)
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
		addTo(v.byEndpoint, typed.Endpoint, name, machine)
		v.countMachine(machine, 1)
	case *v1.ReplicaSpec:
		replica := Replica{Object: object, Spec: typed, Adapters: v1.ReplicaAdapters(object.GetStatus())}
		addTo(v.replicas, typed.Version, name, replica)
		addTo(v.replicasOn, typed.Machine, name, replica)
		v.decisionRevisions[typed.Machine] = max(v.decisionRevisions[typed.Machine], object.GetRevision())
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

func (v *View) unindex(key state.Key, previous *wirepb.Object) {
	name := previous.GetName()
	switch typed := v.specs[key].(type) {
	case *v1.MachineSpec:
		v.countMachine(v.machines[name], -1)
		delete(v.machines, name)
		removeFrom(v.byEndpoint, typed.Endpoint, name)
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

// ApplyDigest implements feed.Sink. Older digests are ignored.
func (v *View) ApplyDigest(digest *wirepb.ClusterDigest) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.digest != nil && !feed.IsNewerDigest(digest, v.digest) {
		return
	}
	if v.firstDigest == nil {
		v.firstDigest = digest
	}
	v.digest = digest
	v.updateCurrent()
	v.digestChanged.Notify()
}

// updateCurrent marks the view as current once it holds a revision that the leader held after the node started, and notifies
// those who wait for changes. All that the state is derived from must be changed before a call.
func (v *View) updateCurrent() {
	if v.current || !v.isUpToDate() {
		return
	}
	v.current = true
	v.changed.Notify()
}

// isUpToDate reports whether the view is at a revision that is known to be recent. The first digest may have been cached by a
// server and doesn't count.
func (v *View) isUpToDate() bool {
	if v.isConfirmed && v.revision >= v.confirmed {
		return true
	}
	return v.digest != nil && feed.IsNewerDigest(v.digest, v.firstDigest) && v.revision >= v.digest.GetRevision()
}

// Confirm sets a revision that the leader held after the node started.
func (v *View) Confirm(revision uint64) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.confirmed, v.isConfirmed = revision, true
	v.updateCurrent()
}

// Current reports whether the view is recent enough to serve requests.
func (v *View) Current() bool {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.current
}

// Digest returns the newest digest, or nil.
func (v *View) Digest() *wirepb.ClusterDigest {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.digest
}

// Resolve returns the target of a model or adapter name.
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

// ServiceOf returns the service that offers a model: the named one or, if named is empty, the first by
// name.
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

// Models returns the names that requests may use.
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

// EachMachine calls visit for each machine.
func (v *View) EachMachine(visit func(name string, machine Machine)) {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	for name, machine := range v.machines {
		visit(name, machine)
	}
}

// Machine returns a machine by name.
func (v *View) Machine(name string) (Machine, bool) {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	machine, found := v.machines[name]
	return machine, found
}

// ReplicasOn returns the replicas decided for a machine, and the view's revision.
func (v *View) ReplicasOn(machine string) ([]Replica, uint64) {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	replicas := make([]Replica, 0, len(v.replicasOn[machine]))
	for _, replica := range v.replicasOn[machine] {
		replicas = append(replicas, replica)
	}
	return replicas, v.revision
}

// DecisionRevision returns the revision of the newest replica decision for a machine, or 0.
func (v *View) DecisionRevision(machine string) uint64 {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.decisionRevisions[machine]
}

// EachReady calls visit for each replica that may get requests: ready, on a live machine, and not in a
// drained zone.
func (v *View) EachReady(visit func(replica Replica, machine Machine)) {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	v.eachReady(func(replica Replica, machine Machine) {
		if !v.isDrained(machine) {
			visit(replica, machine)
		}
	})
}

// eachReady also visits the replicas in drained zones. The caller must hold the mutex.
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

// Each calls visit for each object, in no particular order.
func (v *View) Each(visit func(object *wirepb.Object)) {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	for _, object := range v.objects {
		visit(object)
	}
}

// EachService calls visit for each declared service.
func (v *View) EachService(visit func(name string, service *v1.ServiceSpec)) {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	for key, spec := range v.specs {
		if service, isService := spec.(*v1.ServiceSpec); isService {
			visit(key.Name, service)
		}
	}
}
