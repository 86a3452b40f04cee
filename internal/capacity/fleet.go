package capacity

import (
	"encoding/json"
	"os"

	"github.com/weldline/weldline/internal/fault"
)

// Fleet tells what runs where.
type Fleet struct {
	Processes []Process `json:"processes"`
	// API are the base URLs of the resource API.
	API []string `json:"api"`
	// Routers are base URLs of callers' gateways.
	Routers []string `json:"routers"`
	// Platform is the base URL of the emulated platform.
	Platform string `json:"platform"`
	Size     Size   `json:"size"`
}

// Process is one process of the fleet.
type Process struct {
	// Name is the node's name.
	Name string `json:"name"`
	// Role is "control", "relay", "router", "hollow" or "emulator".
	Role string `json:"role"`
	// Admin is the base URL of its metrics; empty if it has none.
	Admin string `json:"admin"`
	// Nodes is how many nodes share the process.
	Nodes int `json:"nodes"`
}

// Size is the size of a run.
type Size struct {
	Nodes         int `json:"nodes"`
	Workers       int `json:"workers"`
	Models        int `json:"models"`
	Adapters      int `json:"adapters"`
	ChangesPerDay int `json:"changesPerDay"`
	LoadsPerHour  int `json:"loadsPerHour"`
}

// LoadFleet reads a fleet file.
func LoadFleet(path string) (*Fleet, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Usage.Wrap(err, "reading the fleet file")
	}
	fleet := &Fleet{}
	if err := json.Unmarshal(content, fleet); err != nil {
		return nil, fault.Invalid.Wrap(err, "reading the fleet file")
	}
	if len(fleet.Processes) == 0 || len(fleet.API) == 0 {
		return nil, fault.InvalidField("processes", "the fleet file names no processes or no API")
	}
	return fleet, nil
}
