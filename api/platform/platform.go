// Package platform defines the HTTP protocols of the surroundings: the list
// of machines and the weight store.
//
//	GET /v1/machines              the machine list, which lags
//	GET /v1/checkpoints/{name}?bytes=N  read a checkpoint; 429 over the rate
package platform

// MachineState is a machine's state in the machine list.
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

// MachineList is the answer of GET /v1/machines.
type MachineList struct {
	Machines []Machine `json:"machines"`
}
