package faultsim

import (
	"encoding/json"
	"strconv"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/raft"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	operatorInterval   = 300 * time.Millisecond
	responseTimeout    = 1500 * time.Millisecond
	resendDelay        = 100 * time.Millisecond
	maxResends         = 6
	contendedService   = "hot"
	propagationTimeout = 3 * time.Second
)

// operator is a client of the resource API. Operators write concurrently and resend requests that got
// no response. An operator process never fails.
type operator struct {
	process
	requests int
}

func (s *simulation) startOperators() {
	for position := range operatorCount {
		created := &operator{process: s.newProcess(numbered("operator", position), zones[position%len(zones)])}
		created.markUp()
		s.operators = append(s.operators, created)
	}
	s.After(1500*time.Millisecond, s.operators[0].declareModels)
	for _, entry := range s.operators {
		s.After(3*time.Second, func() { s.repeatUntil(operatorInterval, trafficEnd, entry.performRandom) })
	}
}

func put(kind v1.Kind, name string, spec any, expected *uint64) *wirepb.ObjectWrite {
	encoded, _ := json.Marshal(spec) // Plain structs always encode.
	return &wirepb.ObjectWrite{
		Operation: wirepb.ObjectWrite_OPERATION_PUT, ExpectedRevision: expected,
		Object: &wirepb.Object{Kind: string(kind), Name: name, Spec: encoded},
	}
}

func versionSpec(model, size int) v1.ModelVersionSpec {
	return v1.ModelVersionSpec{
		Model: numbered("model", model), Checkpoint: numbered("checkpoint", size),
		WeightBytes: int64(20+10*(size%3)) << 30, CacheBytes: 10 << 30, Accelerators: 1 + model%2, MaxConcurrent: 2,
	}
}

func (o *operator) declareModels() {
	var writes []*wirepb.ObjectWrite
	var names []string
	for model := range o.sim.shape.Models {
		name := numbered("model", model)
		names = append(names, name)
		writes = append(writes,
			put(v1.KindModel, name, v1.ModelSpec{DefaultVersion: name + ".v1", MaxReplicas: 1 + model%2}, nil),
			put(v1.KindModelVersion, name+".v1", versionSpec(model, model), nil))
	}
	writes = append(writes,
		put(v1.KindService, "chat", v1.ServiceSpec{Models: names, ColdStartWeight: 1}, nil),
		put(v1.KindService, contendedService, v1.ServiceSpec{Models: names[:1]}, nil))
	o.write(writes, func(*wirepb.CommandResult) {})
}

// performRandom performs a random operation.
func (o *operator) performRandom() {
	model := o.sim.random.IntN(o.sim.shape.Models)
	name := numbered("model", model)
	switch o.sim.random.IntN(8) {
	case 0, 1:
		o.readContended()
	case 2, 3:
		o.writeContended()
	case 4:
		o.declareVersion(model)
	case 5:
		size := 1 + o.sim.random.IntN(3)
		o.modify(v1.KindModel, name, func(spec v1.Spec) any {
			changed := *spec.(*v1.ModelSpec)
			changed.MaxReplicas = size
			return changed
		})
	case 6:
		o.modify(v1.KindModel, name, func(spec v1.Spec) any {
			changed := *spec.(*v1.ModelSpec)
			changed.DefaultVersion = name + ".v" + strconv.Itoa(1+o.sim.random.IntN(3))
			return changed
		})
	default:
		drain := o.sim.random.IntN(3) == 0
		o.modify(v1.KindMachine, numbered("machine", o.sim.random.IntN(o.sim.shape.Machines)), func(spec v1.Spec) any {
			changed := *spec.(*v1.MachineSpec)
			changed.Drain = drain
			return changed
		})
	}
}

// declareVersion declares a version whose name other operators may use concurrently with different
// content.
func (o *operator) declareVersion(model int) {
	name := numbered("model", model) + ".v" + strconv.Itoa(2+o.sim.random.IntN(2))
	size := o.sim.random.IntN(6)
	o.write([]*wirepb.ObjectWrite{put(v1.KindModelVersion, name, versionSpec(model, size), nil)}, func(*wirepb.CommandResult) {})
}

// modify reads an object at a control node and writes it conditionally on the revision read.
func (o *operator) modify(kind v1.Kind, name string, edit func(v1.Spec) any) {
	type read struct {
		object *wirepb.Object
		spec   v1.Spec
	}
	target := o.randomControl()
	call(&o.process, &target.process, responseTimeout, func(reply func(read)) {
		reply(read{target.member.State.Get(kind, name), target.member.State.Spec(kind, name)})
	}, func(found read, answered bool) {
		if !answered || found.object == nil {
			return
		}
		revision := found.object.GetRevision()
		write := put(kind, name, edit(found.spec), &revision)
		write.Object.Labels = found.object.GetLabels()
		o.write([]*wirepb.ObjectWrite{write}, func(*wirepb.CommandResult) {})
	})
}

func (o *operator) randomControl() *controlNode {
	return o.sim.controls[o.sim.random.IntN(controlCount)]
}

// write sends a write, and resends it with the same request ID to random control nodes until it is
// answered. If all attempts fail, it calls done with nil.
func (o *operator) write(writes []*wirepb.ObjectWrite, done func(*wirepb.CommandResult)) {
	o.requests++
	command := &wirepb.Command{
		RequestId: o.name + "/" + strconv.Itoa(o.requests),
		Body:      &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: writes}},
	}
	o.send(command, maxResends, done)
}

func (o *operator) send(command *wirepb.Command, attempts int, done func(*wirepb.CommandResult)) {
	if attempts == 0 {
		done(nil)
		return
	}
	target := o.randomControl()
	// Each message has its own copy, as after encoding.
	copied := &wirepb.Command{RequestId: command.GetRequestId(), Body: command.GetBody()}
	call(&o.process, &target.process, responseTimeout, func(reply func(commandReply)) {
		target.submit(copied, reply)
	}, func(answer commandReply, answered bool) {
		if !answered || answer.err != nil {
			o.after(resendDelay, func() { o.send(command, attempts-1, done) })
			return
		}
		o.sim.checks.checkAcknowledged(command, answer.result)
		if o.sim.random.IntN(10) == 0 {
			// Treats the response as lost; the resend must get the same result.
			o.send(command, 1, func(*wirepb.CommandResult) {})
		}
		done(answer.result)
	})
}

// readContended performs a linearizable read of the contended object.
func (o *operator) readContended() {
	target := o.randomControl()
	operation := o.sim.register.begin(o.sim.Now(), registerInput{})
	type answer struct {
		value int32
		valid bool
	}
	call(&o.process, &target.process, responseTimeout, func(reply func(answer)) {
		target.linearizableRead(func() {
			spec, declared := target.member.State.Spec(v1.KindService, contendedService).(*v1.ServiceSpec)
			if declared {
				reply(answer{spec.Priority, true})
			}
		})
	}, func(read answer, answered bool) {
		if answered && read.valid {
			operation.end(o.sim.Now(), registerOutput{value: read.value})
		}
	})
}

// linearizableRead calls visit once this node has applied everything that was committed when the read
// began.
func (c *controlNode) linearizableRead(visit func()) {
	if c.sim.mutation == MutationStaleRead {
		visit()
		return
	}
	leader := c.sim.control(c.member.Raft.Status().Leader)
	if leader == nil {
		return
	}
	call(&c.process, &leader.process, electionTimeout, func(reply func(uint64)) {
		// The revision is read before the lease is checked: a valid lease then proves that no other
		// leader had been elected by the time of the read.
		revision := leader.member.State.Revision()
		if leader.holdsLease() {
			reply(revision)
		}
	}, func(revision uint64, answered bool) {
		if answered {
			c.waitApplied(revision, visit)
		}
	})
}

func (c *controlNode) waitApplied(revision uint64, visit func()) {
	if c.member.State.Revision() >= revision {
		visit()
		return
	}
	c.after(controlTick, func() { c.waitApplied(revision, visit) })
}

// writeContended performs a compare-and-set of the contended object.
func (o *operator) writeContended() {
	target := o.randomControl()
	call(&o.process, &target.process, responseTimeout, func(reply func(*wirepb.Object)) {
		reply(target.member.State.Get(v1.KindService, contendedService))
	}, func(found *wirepb.Object, answered bool) {
		if !answered || found == nil {
			return
		}
		spec := v1.ServiceSpec{}
		if json.Unmarshal(found.GetSpec(), &spec) != nil {
			return
		}
		expected := spec.Priority
		spec.Priority = o.sim.register.nextValue()
		revision := found.GetRevision()
		operation := o.sim.register.begin(o.sim.Now(), registerInput{write: true, expected: expected, next: spec.Priority})
		o.write([]*wirepb.ObjectWrite{put(v1.KindService, contendedService, spec, &revision)}, func(result *wirepb.CommandResult) {
			if result != nil {
				operation.end(o.sim.Now(), registerOutput{conflict: result.GetCode() == wirepb.ResultCode_RESULT_CODE_CONFLICT})
			}
		})
	})
}

// hasQuorum reports whether a majority of the voters of the latest membership is up.
func (s *simulation) hasQuorum() bool {
	var newest raft.Status
	for _, control := range s.controls {
		if control.up {
			if status := control.member.Raft.Status(); status.Committed >= newest.Committed {
				newest = status
			}
		}
	}
	alive := 0
	for _, id := range newest.Voters {
		if control := s.control(id); control != nil && control.up {
			alive++
		}
	}
	return alive > len(newest.Voters)/2
}
