package nodeview

import (
	"cmp"
	"slices"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// maxPerBackend is the maximum number of requests in flight to an endpoint of a generic service.
const maxPerBackend = 256

// ReplicaTargets returns the replicas that may get requests, by name.
func (v *View) ReplicaTargets() []dispatch.Target {
	return v.AllReplicaTargets().Targets
}

// AllReplicaTargets returns the replicas that may get requests, and separately those excluded by a zone
// drain, both by name.
func (v *View) AllReplicaTargets() dispatch.TargetChanges {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	all := dispatch.TargetChanges{Full: true}
	v.eachReady(func(replica Replica, machine Machine) {
		target := v.newTarget(replica.Spec.Machine, machine)
		target.Replica, target.Version, target.MaxConcurrent = replica.Object.GetName(), replica.Spec.Version, replica.Spec.MaxConcurrent
		if v.isDrained(machine) {
			all.Drained = append(all.Drained, target)
			return
		}
		all.Targets = append(all.Targets, target)
	})
	slices.SortFunc(all.Targets, byReplica)
	slices.SortFunc(all.Drained, byReplica)
	return all
}

// ServiceTargets returns a target for each endpoint of each generic service. Its version is the name of
// the service.
func (v *View) ServiceTargets() []dispatch.Target {
	var targets []dispatch.Target
	v.EachService(func(name string, service *v1.ServiceSpec) {
		if service.Backend == nil {
			return
		}
		for _, endpoint := range service.Backend.Endpoints {
			targets = append(targets, dispatch.Target{
				Replica: name + "|" + endpoint, Version: name, Machine: name + "|" + endpoint,
				Endpoint: endpoint, MaxConcurrent: maxPerBackend,
			})
		}
	})
	return targets
}

// EstimatesOf returns the estimates in a digest by version, relative to now.
func EstimatesOf(digest *wirepb.ClusterDigest, now time.Time) map[string]*dispatch.Estimate {
	estimates := make(map[string]*dispatch.Estimate, len(digest.GetEstimates()))
	for _, estimate := range digest.GetEstimates() {
		estimates[estimate.GetVersion()] = &dispatch.Estimate{
			ReadyAt:    now.Add(time.Duration(estimate.GetReadyInMs()) * time.Millisecond),
			EarliestAt: now.Add(time.Duration(estimate.GetEarliestInMs()) * time.Millisecond),
			Refused:    estimate.GetRefused(), Reason: estimate.GetReason(),
		}
	}
	return estimates
}

// eachPacked calls visit for the machines with a value above 0 in a list in the roster's order.
func eachPacked(digest *wirepb.ClusterDigest, packed []byte, visit func(machine string, number byte)) {
	machines := digest.GetRoster().GetMachines()
	for position, number := range packed {
		if number > 0 && position < len(machines) {
			visit(machines[position], number)
		}
	}
}

// LoadsOf returns the machines' numbers of requests in a digest.
func LoadsOf(digest *wirepb.ClusterDigest) map[string]int {
	loads := make(map[string]int, len(digest.GetMachineLoads()))
	eachPacked(digest, digest.GetMachineLoads(), func(machine string, load byte) { loads[machine] = int(load) })
	return loads
}

// WorkUnit is the unit of work in digests, in tokens.
const WorkUnit = 512

// WorkOf returns the machines' outstanding work in a digest, in tokens.
func WorkOf(digest *wirepb.ClusterDigest) map[string]float64 {
	work := make(map[string]float64, len(digest.GetMachineWork()))
	eachPacked(digest, digest.GetMachineWork(), func(machine string, units byte) { work[machine] = float64(units) * WorkUnit })
	return work
}

// AnswersOf returns the recent answers of machines in a digest, or nil if there were no errors.
func AnswersOf(digest *wirepb.ClusterDigest) map[string]dispatch.ResponseCounts {
	if len(digest.GetMachineErrors()) == 0 {
		return nil
	}
	answers := make(map[string]dispatch.ResponseCounts, len(digest.GetMachineAnswers()))
	eachPacked(digest, digest.GetMachineAnswers(), func(machine string, answered byte) {
		answers[machine] = dispatch.ResponseCounts{Total: float64(answered)}
	})
	eachPacked(digest, digest.GetMachineErrors(), func(machine string, errors byte) {
		if entry, answered := answers[machine]; answered {
			entry.Errors = float64(errors)
			answers[machine] = entry
		}
	})
	return answers
}

// AnswerReporter encodes a router's answer counts for its reports, without machines whose counts are
// unchanged since the last report.
type AnswerReporter struct {
	reported map[string]dispatch.ResponseCounts
}

// NewAnswerReporter returns an AnswerReporter for a router's first report.
func NewAnswerReporter() *AnswerReporter {
	return &AnswerReporter{reported: map[string]dispatch.ResponseCounts{}}
}

// Messages returns the entries of the next report, sorted by machine.
func (n *AnswerReporter) Messages(counts map[string]dispatch.ResponseCounts) []*wirepb.MachineAnswers {
	var messages []*wirepb.MachineAnswers
	for machine, entry := range counts {
		if n.reported[machine] == entry {
			continue
		}
		messages = append(messages, &wirepb.MachineAnswers{Machine: machine, Answered: uint64(entry.Total), Errors: uint64(entry.Errors)})
	}
	n.reported = counts
	slices.SortFunc(messages, func(left, right *wirepb.MachineAnswers) int {
		return cmp.Compare(left.GetMachine(), right.GetMachine())
	})
	return messages
}

// keySeparator does not occur in names.
const keySeparator = "\x00"

// DemandReporter encodes a router's demand for its reports, without versions that had no new requests
// since the last report and have none waiting or running.
type DemandReporter struct {
	reported map[string]uint64
}

// NewDemandReporter returns a DemandReporter for a router's first report.
func NewDemandReporter() *DemandReporter {
	return &DemandReporter{reported: map[string]uint64{}}
}

// Messages returns the entries of the next report.
func (n *DemandReporter) Messages(demands []dispatch.Demand) []*wirepb.ModelDemand {
	var messages []*wirepb.ModelDemand
	for _, demand := range demands {
		key := demand.Version + keySeparator + demand.Adapter + keySeparator + demand.Allowed.Key() + keySeparator + demand.Software
		changed := demand.Waiting > 0 || demand.Running > 0 || demand.Arrivals != n.reported[key]
		n.reported[key] = demand.Arrivals
		if changed {
			messages = append(messages, demandMessage(demand))
		}
	}
	return messages
}

func demandMessage(demand dispatch.Demand) *wirepb.ModelDemand {
	return &wirepb.ModelDemand{
		Version: demand.Version, Adapter: demand.Adapter, Waiting: uint32(demand.Waiting), Running: uint32(demand.Running),
		Arrivals: demand.Arrivals, Work: demand.Work,
		TargetMs: uint32(demand.TTFTTarget.Milliseconds()), OldestWaitMs: uint32(demand.OldestWait.Milliseconds()), Priority: demand.Priority,
		Regions: demand.Allowed.Regions(), Software: demand.Software,
	}
}
