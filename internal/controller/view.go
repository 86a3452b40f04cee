package controller

import (
	"encoding/json"
	"strconv"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/machines"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/placement"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/quota"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// storedView is an index of the objects in the state at one revision.
type storedView struct {
	revision uint64
	models   map[string]*v1.ModelSpec
	versions map[string]*v1.ModelVersionSpec
	services []*v1.ServiceSpec
	pools    map[string]*v1.PoolSpec
	// hasWarming is set if the machines of any pool warm up.
	hasWarming bool
	machines   map[string]machines.Declared
	replicas   []storedReplica
	// limits has the tenants' limits by name.
	limits map[string]quota.Limit
	// loadable has the versions that may be loaded.
	loadable map[string]*placement.Version
	// suspects has the suspect records by name.
	suspects map[string]*v1.SuspectSpec
	// drains has the newest drain order of each zone.
	drains      map[string]storedDrain
	loadCrashes map[string]placement.LoadCrashes
	// software caches the result of poolSoftware; nil before the first call.
	software []*wirepb.PoolSoftware
}

type storedDrain struct {
	revision uint64
	spec     *v1.ZoneDrainSpec
}

func (v *storedView) isDrained(zone string) bool {
	order, given := v.drains[zone]
	return given && order.spec.Drained
}

type storedReplica struct {
	object *wirepb.Object
	spec   *v1.ReplicaSpec
}

// clusterView is the leader's view in one pass: the stored objects and the reports.
type clusterView struct {
	*storedView
	places   places.ZoneMap
	now      time.Duration
	nodes    map[string]nodeEntry
	reports  map[string]machineEntry
	arrivals map[string]versionTotals
}

// listedMachines returns the machines that did not register themselves.
func (v *storedView) listedMachines() map[string]machines.Declared {
	listed := make(map[string]machines.Declared, len(v.machines))
	for name, declared := range v.machines {
		if declared.Spec.Pool == "" {
			listed[name] = declared
		}
	}
	return listed
}

// view combines the state observed last with the reports.
func (c *Controller) view(now time.Duration) *clusterView {
	nodes, machineReports := c.reports.snapshot(now)
	return &clusterView{
		storedView: c.stored, places: c.config.Places, now: now, nodes: nodes, reports: machineReports, arrivals: c.reports.arrivalCounts(),
	}
}

func readState(machine *state.Machine) *storedView {
	view := &storedView{
		revision: machine.Revision(), models: map[string]*v1.ModelSpec{}, versions: map[string]*v1.ModelVersionSpec{},
		machines: map[string]machines.Declared{}, pools: map[string]*v1.PoolSpec{}, limits: map[string]quota.Limit{},
		suspects: map[string]*v1.SuspectSpec{}, drains: map[string]storedDrain{},
	}
	machine.Each(func(object *wirepb.Object, spec v1.Spec) {
		view.add(object, spec, machine.MachineStatus(object.GetName()))
	})
	view.loadable = view.placementVersions()
	view.loadCrashes = view.countLoadCrashes()
	return view
}

func (v *storedView) add(object *wirepb.Object, spec v1.Spec, status v1.MachineStatus) {
	switch typed := spec.(type) {
	case *v1.ModelSpec:
		v.models[object.GetName()] = typed
	case *v1.ModelVersionSpec:
		v.versions[object.GetName()] = typed
	case *v1.ServiceSpec:
		v.services = append(v.services, typed)
	case *v1.TenantSpec:
		v.limits[object.GetName()] = nodeview.LimitOf(typed)
	case *v1.PoolSpec:
		v.pools[object.GetName()] = typed
		v.hasWarming = v.hasWarming || typed.Warming != nil
	case *v1.MachineSpec:
		v.machines[object.GetName()] = machines.Declared{Object: object, Spec: typed, Status: status}
	case *v1.ReplicaSpec:
		v.replicas = append(v.replicas, storedReplica{object: object, spec: typed})
	case *v1.ZoneDrainSpec:
		v.drains[object.GetName()] = storedDrain{revision: object.GetRevision(), spec: typed}
	case *v1.SuspectSpec:
		v.suspects[object.GetName()] = typed
	}
}

func observations(now time.Duration, reports map[string]machineEntry) map[string]machines.Observation {
	observed := make(map[string]machines.Observation, len(reports))
	for name, entry := range reports {
		observed[name] = machines.Observation{
			Reported: true, Incarnation: entry.report.GetIncarnation(), SilentFor: now - entry.lastReachable,
		}
	}
	return observed
}

func (v *clusterView) placementInput(now time.Time) *placement.Input {
	input := &placement.Input{
		Now: now, Versions: v.loadable, Machines: v.placementMachines(),
		Demand: v.demand(),
	}
	input.LoadCrashes = v.loadCrashes
	input.StoreLoadsPerSecond, input.StoreConcurrentLoads = v.storeLimits()
	for _, replica := range v.replicas {
		input.Replicas = append(input.Replicas, v.placementReplica(replica))
	}
	return input
}

// placementVersions returns the default version of each model, with the highest weight and priority of
// its services.
func (v *storedView) placementVersions() map[string]*placement.Version {
	versions := make(map[string]*placement.Version, len(v.models))
	byModel := make(map[string]*placement.Version, len(v.models))
	for name, model := range v.models {
		spec := v.versions[model.DefaultVersion]
		if spec == nil || spec.Model != name {
			continue
		}
		version := &placement.Version{
			Name: model.DefaultVersion, Spec: spec, MinReplicas: model.MinReplicas, MaxReplicas: model.MaxReplicas,
		}
		if spec.Pool != "" {
			version.ColdStartWeight = v1.DefaultColdStartWeight
		}
		versions[version.Name] = version
		byModel[name] = version
	}
	for _, service := range v.services {
		for _, model := range service.Models {
			if version := byModel[model]; version != nil {
				version.ColdStartWeight = max(version.ColdStartWeight, service.ColdStartWeight)
				version.Priority = max(version.Priority, service.Priority)
			}
		}
	}
	return versions
}

func (v *clusterView) placementMachines() map[string]*placement.Machine {
	listed := make(map[string]*placement.Machine, len(v.machines))
	for name, declared := range v.machines {
		if declared.Status.Phase == v1.MachineGone {
			continue
		}
		report := v.reports[name].report
		live := declared.Status.Phase == v1.MachineLive && !declared.Spec.Drain
		drained := v.isDrained(declared.Spec.Zone)
		machine := &placement.Machine{
			Name: name, Zone: declared.Spec.Zone, Region: v.places.Region(declared.Spec.Zone),
			Accelerators: declared.Spec.Accelerators, AcceleratorBytes: declared.Spec.AcceleratorBytes,
			Incarnation: declared.Status.Incarnation, Fence: report.GetFence(),
			Schedulable: live && !drained,
			Drained:     live && drained,
			Lost:        declared.Status.Phase == v1.MachineLost,
			Pool:        declared.Spec.Pool,
			Software:    declared.Spec.Software,
			Tiers:       map[string]placement.Tier{},
		}
		if machine.Pool != "" && report == nil {
			// The engine's contents are not known yet.
			machine.Schedulable = false
		}
		for _, checkpoint := range report.GetCheckpoints() {
			machine.Tiers[checkpoint.GetCheckpoint()] = placement.Tier(checkpoint.GetTier())
		}
		listed[name] = machine
	}
	return listed
}

func (v *clusterView) placementReplica(stored storedReplica) *placement.Replica {
	replica := &placement.Replica{Name: stored.object.GetName(), Revision: stored.object.GetRevision(), Spec: stored.spec}
	report := v.reports[stored.spec.Machine].report
	if report == nil || !report.GetReachable() {
		return replica
	}
	replica.Restarted = report.GetIncarnation() > stored.spec.Incarnation
	if report.GetIncarnation() != stored.spec.Incarnation {
		return replica
	}
	for _, engine := range report.GetReplicas() {
		if engine.GetId() == replica.Name || engine.GetId() == "" && engine.GetVersion() == stored.spec.Version {
			replica.EnginePhase = engine.GetPhase()
			replica.Remaining = time.Duration(engine.GetRemainingMs()) * time.Millisecond
			replica.Running = int(engine.GetRunning())
			replica.Observed = true
			return replica
		}
	}
	// An engine that does not list the replica may not have received the order yet.
	replica.Observed = report.GetFence() >= OrderFence(stored.object, stored.spec)
	return replica
}

// OrderFence returns the fence of the order that a replica record represents: the revision at which its
// load or unload was decided.
func OrderFence(object *wirepb.Object, spec *v1.ReplicaSpec) uint64 {
	if spec.Phase == v1.ReplicaUnloading {
		return object.GetRevision()
	}
	return object.GetCreateRevision()
}

// storeLimits sums the load rates of the pools' weight stores, and derives how many loads can run
// concurrently at full speed from the average load time.
func (v *storedView) storeLimits() (perSecond float64, concurrent int) {
	for _, pool := range v.pools {
		if pool.Engine != nil {
			perSecond += pool.Engine.StoreLoadsPerSecond
		}
	}
	if perSecond == 0 {
		return 0, 0
	}
	var total time.Duration
	count := 0
	for _, version := range v.loadable {
		if version.Spec.LoadTime > 0 {
			total += time.Duration(version.Spec.LoadTime)
			count++
		}
	}
	if count == 0 {
		return perSecond, 0
	}
	return perSecond, max(1, int(perSecond*total.Seconds()/float64(count)))
}

// demand sums the demand reported by live routers.
func (v *clusterView) demand() map[string]*placement.Demand {
	total := make(map[string]*placement.Demand, len(v.arrivals))
	for version, counts := range v.arrivals {
		total[version] = &placement.Demand{Arrivals: counts.arrivals, Work: counts.work, FirstTokenTarget: time.Duration(counts.targetMs) * time.Millisecond}
	}
	for _, entry := range v.nodes {
		age := v.now - entry.received
		if age > NodeTimeout {
			continue
		}
		for _, reported := range entry.report.GetDemand() {
			if isPartialDemand(reported) {
				continue // Included in the version's entry.
			}
			demand := total[reported.GetVersion()]
			if demand == nil {
				demand = &placement.Demand{}
				total[reported.GetVersion()] = demand
			}
			demand.Waiting += int(reported.GetWaiting())
			demand.Running += int(reported.GetRunning())
			v.addRegionDemand(demand, entry.report.GetZone(), reported)
			demand.Priority = max(demand.Priority, reported.GetPriority())
			demand.OldestWait = max(demand.OldestWait, oldestWait(reported, age))
		}
	}
	v.addConstrainedDemand(total)
	return total
}

// oldestWait returns the longest wait of a request in a report of the given age, or 0 if none waits.
func oldestWait(reported *wirepb.ModelDemand, age time.Duration) time.Duration {
	if reported.GetWaiting() == 0 {
		return 0
	}
	return time.Duration(reported.GetOldestWaitMs())*time.Millisecond + age
}

// addConstrainedDemand sums the demand reported by live routers by constraint.
func (v *clusterView) addConstrainedDemand(total map[string]*placement.Demand) {
	for _, entry := range v.nodes {
		age := v.now - entry.received
		if age > NodeTimeout {
			continue
		}
		for _, reported := range entry.report.GetDemand() {
			demand := total[reported.GetVersion()]
			if !isConstrainedDemand(reported) || reported.GetAdapter() != "" || demand == nil {
				continue
			}
			bound := constrainedDemand(demand, hostsOf(reported))
			bound.Waiting += int(reported.GetWaiting())
			bound.Running += int(reported.GetRunning())
			bound.Priority = max(bound.Priority, reported.GetPriority())
			bound.OldestWait = max(bound.OldestWait, oldestWait(reported, age))
		}
	}
}

// constrainedDemand returns a version's demand under a constraint. It adds an entry if there is none.
func constrainedDemand(demand *placement.Demand, hosts places.HostConstraint) *placement.ConstrainedDemand {
	for position := range demand.Constrained {
		if demand.Constrained[position].Hosts.Key() == hosts.Key() {
			return &demand.Constrained[position]
		}
	}
	demand.Constrained = append(demand.Constrained, placement.ConstrainedDemand{Hosts: hosts})
	return &demand.Constrained[len(demand.Constrained)-1]
}

// addRegionDemand counts requests by the region of their router, if that is known.
func (v *clusterView) addRegionDemand(demand *placement.Demand, zone string, reported *wirepb.ModelDemand) {
	region := v.places.Region(zone)
	requests := reported.GetWaiting() + reported.GetRunning()
	if region == "" || requests == 0 {
		return
	}
	if demand.Regions == nil {
		demand.Regions = map[string]float64{}
	}
	demand.Regions[region] += float64(requests)
}

// replicaWrites converts actions to conditional writes of replica records.
func replicaWrites(revision uint64, actions []placement.Action) []*wirepb.ObjectWrite {
	writes := make([]*wirepb.ObjectWrite, 0, len(actions))
	for position, action := range actions {
		if write := replicaWrite(revision, position, action); write != nil {
			writes = append(writes, write)
		}
	}
	return writes
}

func replicaWrite(revision uint64, position int, action placement.Action) *wirepb.ObjectWrite {
	write := &wirepb.ObjectWrite{Object: &wirepb.Object{Kind: string(v1.KindReplica)}}
	var spec v1.ReplicaSpec
	expected := uint64(0)
	if action.Kind == placement.ActionLoad {
		spec = *action.Spec
		// Names must never be reused: engines don't load a replica that has ended. The revision makes
		// them unique.
		write.Object.Name = spec.Version + "." + strconv.FormatUint(revision, 10) + "." + strconv.Itoa(position)
	} else {
		spec = *action.Replica.Spec
		write.Object.Name = action.Replica.Name
		expected = action.Replica.Revision
	}
	write.ExpectedRevision = &expected
	switch action.Kind {
	case placement.ActionRemove:
		write.Operation = wirepb.ObjectWrite_OPERATION_DELETE
		return write
	case placement.ActionReady:
		spec.Phase = v1.ReplicaReady
	case placement.ActionUnload:
		spec.Phase = v1.ReplicaUnloading
	}
	encoded, err := json.Marshal(spec)
	if err != nil {
		return nil
	}
	write.Object.Spec = encoded
	return write
}
