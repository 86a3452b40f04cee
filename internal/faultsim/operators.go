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
	operatorInterval = 300 * time.Millisecond
	answerTimeout    = 1500 * time.Millisecond
	resendDelay      = 100 * time.Millisecond
	maxResends       = 6
	hotService       = "hot"
	inForceWithin    = 3 * time.Second
)

// operator writes through the control nodes, races the others, and resends
// what got no answer. It is a process that never fails.
type operator struct {
	process
	requests int
}

func (w *world) startOperators() {
	for position := range operatorCount {
		created := &operator{process: w.newProcess(numbered("operator", position), zones[position%len(zones)])}
		created.begin()
		w.operators = append(w.operators, created)
	}
	w.After(1500*time.Millisecond, w.operators[0].declareAll)
	for _, entry := range w.operators {
		w.After(3*time.Second, func() { w.repeatUntil(operatorInterval, trafficEnd, entry.act) })
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

// declareAll declares the models in one write.
func (o *operator) declareAll() {
	var writes []*wirepb.ObjectWrite
	var names []string
	for model := range modelCount {
		name := numbered("model", model)
		names = append(names, name)
		writes = append(writes,
			put(v1.KindModel, name, v1.ModelSpec{DefaultVersion: name + ".v1", MaxReplicas: 1 + model%2}, nil),
			put(v1.KindModelVersion, name+".v1", versionSpec(model, model), nil))
	}
	writes = append(writes,
		put(v1.KindService, "chat", v1.ServiceSpec{Models: names, ColdStartWeight: 1}, nil),
		put(v1.KindService, hotService, v1.ServiceSpec{Models: names[:1]}, nil))
	o.write(writes, func(*wirepb.CommandResult) {})
}

// act does one of the things that operators do.
func (o *operator) act() {
	model := o.world.random.IntN(modelCount)
	name := numbered("model", model)
	switch o.world.random.IntN(8) {
	case 0, 1:
		o.readHot()
	case 2, 3:
		o.writeHot()
	case 4:
		o.declareVersion(model)
	case 5:
		size := 1 + o.world.random.IntN(3)
		o.change(v1.KindModel, name, func(spec v1.Spec) any {
			changed := *spec.(*v1.ModelSpec)
			changed.MaxReplicas = size
			return changed
		})
	case 6:
		o.change(v1.KindModel, name, func(spec v1.Spec) any {
			changed := *spec.(*v1.ModelSpec)
			changed.DefaultVersion = name + ".v" + strconv.Itoa(1+o.world.random.IntN(3))
			return changed
		})
	default:
		drain := o.world.random.IntN(3) == 0
		o.change(v1.KindMachine, numbered("machine", o.world.random.IntN(machineCount)), func(spec v1.Spec) any {
			changed := *spec.(*v1.MachineSpec)
			changed.Drain = drain
			return changed
		})
	}
}

// declareVersion declares a version under a name that others declare with
// different content at the same time.
func (o *operator) declareVersion(model int) {
	name := numbered("model", model) + ".v" + strconv.Itoa(2+o.world.random.IntN(2))
	size := o.world.random.IntN(6)
	o.write([]*wirepb.ObjectWrite{put(v1.KindModelVersion, name, versionSpec(model, size), nil)}, func(*wirepb.CommandResult) {})
}

// change reads an object at a control node and writes it under the version
// that it read there.
func (o *operator) change(kind v1.Kind, name string, edit func(v1.Spec) any) {
	type read struct {
		object *wirepb.Object
		spec   v1.Spec
	}
	target := o.anyControl()
	call(&o.process, &target.process, answerTimeout, func(reply func(read)) {
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

func (o *operator) anyControl() *controlNode {
	return o.world.controls[o.world.random.IntN(controlCount)]
}

// write sends a write, and resends it under the same request id to another
// control node until it is answered. Without any answer done gets nil.
func (o *operator) write(writes []*wirepb.ObjectWrite, done func(*wirepb.CommandResult)) {
	o.requests++
	command := &wirepb.Command{
		RequestId: o.name + "/" + strconv.Itoa(o.requests),
		Body:      &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: writes}},
	}
	o.send(command, maxResends, done)
}

func (o *operator) send(command *wirepb.Command, tries int, done func(*wirepb.CommandResult)) {
	if tries == 0 {
		done(nil)
		return
	}
	target := o.anyControl()
	// Each copy is its own message, as it is on a wire.
	copied := &wirepb.Command{RequestId: command.GetRequestId(), Body: command.GetBody()}
	call(&o.process, &target.process, answerTimeout, func(reply func(outcome)) {
		target.submit(copied, reply)
	}, func(answer outcome, answered bool) {
		if !answered || answer.err != nil {
			o.after(resendDelay, func() { o.send(command, tries-1, done) })
			return
		}
		o.world.checks.acknowledged(command, answer.result)
		if o.world.random.IntN(10) == 0 {
			// The answer is lost after all; the resend must get the same one.
			o.send(command, 1, func(*wirepb.CommandResult) {})
		}
		done(answer.result)
	})
}

// readHot reads the contended object with the guarantees of the resource API:
// the leader confirms under its lease how far the reader must have come.
func (o *operator) readHot() {
	target := o.anyControl()
	operation := o.world.register.begin(o.world.Now(), registerInput{})
	type answer struct {
		value int32
		valid bool
	}
	call(&o.process, &target.process, answerTimeout, func(reply func(answer)) {
		target.confirmedRead(func() {
			spec, declared := target.member.State.Spec(v1.KindService, hotService).(*v1.ServiceSpec)
			if declared {
				reply(answer{spec.Priority, true})
			}
		})
	}, func(read answer, answered bool) {
		if answered && read.valid {
			operation.end(o.world.Now(), registerOutput{value: read.value})
		}
	})
}

// confirmedRead calls visit once this node holds everything that was
// committed when the read came.
func (c *controlNode) confirmedRead(visit func()) {
	if c.world.mutation == MutationStaleRead {
		visit()
		return
	}
	leader := c.world.control(c.member.Raft.Status().Leader)
	if leader == nil {
		return
	}
	call(&c.process, &leader.process, electionTimeout, func(reply func(uint64)) {
		// The revision comes first: a lease that holds after it was read
		// proves that no other leader had been elected before.
		revision := leader.member.State.Revision()
		if leader.leads() {
			reply(revision)
		}
	}, func(revision uint64, answered bool) {
		if answered {
			c.whenApplied(revision, visit)
		}
	})
}

func (c *controlNode) whenApplied(revision uint64, visit func()) {
	if c.member.State.Revision() >= revision {
		visit()
		return
	}
	c.after(controlTick, func() { c.whenApplied(revision, visit) })
}

// writeHot reads the contended object and replaces it on condition that it
// has not changed since.
func (o *operator) writeHot() {
	target := o.anyControl()
	call(&o.process, &target.process, answerTimeout, func(reply func(*wirepb.Object)) {
		reply(target.member.State.Get(v1.KindService, hotService))
	}, func(found *wirepb.Object, answered bool) {
		if !answered || found == nil {
			return
		}
		spec := v1.ServiceSpec{}
		if json.Unmarshal(found.GetSpec(), &spec) != nil {
			return
		}
		expected := spec.Priority
		spec.Priority = o.world.register.nextValue()
		revision := found.GetRevision()
		operation := o.world.register.begin(o.world.Now(), registerInput{write: true, expected: expected, next: spec.Priority})
		o.write([]*wirepb.ObjectWrite{put(v1.KindService, hotService, spec, &revision)}, func(result *wirepb.CommandResult) {
			if result != nil {
				operation.end(o.world.Now(), registerOutput{conflict: result.GetCode() == wirepb.ResultCode_RESULT_CODE_CONFLICT})
			}
		})
	})
}

// hasQuorum reports whether the voters of the newest membership can decide.
func (w *world) hasQuorum() bool {
	var newest raft.Status
	for _, control := range w.controls {
		if control.up {
			if status := control.member.Raft.Status(); status.Committed >= newest.Committed {
				newest = status
			}
		}
	}
	alive := 0
	for _, id := range newest.Voters {
		if control := w.control(id); control != nil && control.up {
			alive++
		}
	}
	return alive > len(newest.Voters)/2
}
