// Package platform defines the HTTP protocols of the platform that weldline runs
// on: the machine list and the weight store.
//
//	GET /v1/machines                    machine list; eventually consistent
//	GET /v1/checkpoints/{name}?bytes=N  read a checkpoint; 429 above the rate limit
package platform

// MachineState is the state of a machine in the machine list.
type MachineState string

// The states of a listed machine.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is an entry of the machine list.
type Machine struct {
	Name             string       `json:"name"`
	Zone             string       `json:"zone"`
	Endpoint         string       `json:"endpoint"`
	Accelerators     int          `json:"accelerators"`
	AcceleratorBytes int64        `json:"acceleratorBytes"`
	State            MachineState `json:"state"`
}

// MachineList is the response of GET /v1/machines.
type MachineList struct {
	Machines []Machine `json:"machines"`
}
