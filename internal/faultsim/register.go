package faultsim

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// register records the operations on one contended object for a linearizability check. Every write
// uses a distinct value.
type register struct {
	sim        *simulation
	lastValue  int32
	operations []*registerOperation
}

type registerInput struct {
	write          bool
	expected, next int32
}

type registerOutput struct {
	value    int32
	conflict bool
	// unknown marks an operation that timed out and may or may not have taken effect.
	unknown bool
}

type registerOperation struct {
	input         registerInput
	output        registerOutput
	start, finish time.Duration
	ended         bool
}

func (r *register) nextValue() int32 {
	r.lastValue++
	return r.lastValue
}

func (r *register) begin(now time.Duration, input registerInput) *registerOperation {
	operation := &registerOperation{input: input, start: now}
	r.operations = append(r.operations, operation)
	return operation
}

func (o *registerOperation) end(now time.Duration, output registerOutput) {
	if !o.ended {
		o.ended = true
		o.finish = now
		o.output = output
	}
}

// registerModel is a compare-and-set register. A write without a response may take effect at any later
// time or never.
var registerModel = porcupine.Model{
	Init: func() any { return int32(0) },
	Step: func(state, input, output any) (bool, any) {
		value, _ := state.(int32)
		request, _ := input.(registerInput)
		response, _ := output.(registerOutput)
		if !request.write {
			return response.value == value, value
		}
		applies := request.expected == value
		if response.unknown {
			if applies {
				return true, request.next
			}
			return true, value
		}
		if response.conflict {
			return !applies, value
		}
		return applies, request.next
	},
}

// linearizable checks the recorded history, within a time limit.
func (r *register) linearizable() porcupine.CheckResult {
	var history []porcupine.Operation
	for position, operation := range r.operations {
		if !operation.ended {
			if !operation.input.write {
				continue // A read without a response has no effect to explain.
			}
			operation.output.unknown = true
			operation.finish = simulationEnd
		}
		history = append(history, porcupine.Operation{
			ClientId: position, Input: operation.input, Output: operation.output,
			Call: int64(operation.start), Return: int64(operation.finish),
		})
	}
	const checkTimeout = 2 * time.Second
	return porcupine.CheckOperationsTimeout(registerModel, history, checkTimeout)
}
