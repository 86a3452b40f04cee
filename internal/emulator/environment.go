package emulator

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/weldline/weldline/api/platform"
	"github.com/weldline/weldline/internal/fault"
)

// Addresses holds the base URLs of the emulated systems.
type Addresses struct {
	Platform string              `json:"platform"`
	Store    string              `json:"store"`
	Engines  map[string]string   `json:"engines"`
	Backends map[string][]string `json:"backends"`
}

// Environment is the set of running emulated systems.
type Environment struct {
	config    *Config
	auditor   *auditor
	faults    *faultInjector
	store     *Store
	engines   map[string]*Engine
	addresses Addresses
	servers   []*http.Server

	mutex sync.Mutex
	// machines is the current machine list; history holds its earlier versions.
	machines []platform.Machine
	history  []listVersion
	leaving  map[string]time.Time
}

type listVersion struct {
	at       time.Time
	machines []platform.Machine
}

// Start starts all systems on ports chosen by the kernel.
func Start(config *Config) (*Environment, error) {
	environment := &Environment{
		config: config, auditor: newAuditor(), faults: newFaultInjector(config.Seed, config.Faults),
		engines: map[string]*Engine{}, leaving: map[string]time.Time{},
		addresses: Addresses{Engines: map[string]string{}, Backends: map[string][]string{}},
	}
	environment.store = newStore(config.Store, environment.auditor)
	steps := []func() error{environment.startEngines, environment.startBackends, environment.startPlatform}
	for _, step := range steps {
		if err := step(); err != nil {
			environment.Close()
			return nil, err
		}
	}
	environment.recordList()
	return environment, nil
}

func (e *Environment) listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(e.config.Host, "0"))
	if err != nil {
		return "", fault.Unavailable.Wrap(err, "listening for the emulator")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	e.servers = append(e.servers, server)
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

func (e *Environment) startEngines() error {
	for position := range e.config.Machines.Count {
		name := fmt.Sprintf("worker-%03d", position+1)
		created := newEngine(name, e.config, e.faults, e.store, e.auditor, e.leavingSince)
		endpoint, err := e.listen(e.withGreyFailures(created.handler(), position, e.config.Machines.Count))
		if err != nil {
			return err
		}
		e.engines[name] = created
		e.addresses.Engines[name] = endpoint
		e.machines = append(e.machines, platform.Machine{
			Name: name, Zone: e.config.Machines.Zones[position%len(e.config.Machines.Zones)], Endpoint: endpoint,
			Accelerators: e.config.Machines.Accelerators, AcceleratorBytes: e.config.Machines.AcceleratorBytes,
			State: platform.MachineLive,
		})
	}
	return nil
}

func (e *Environment) startBackends() error {
	for _, pool := range e.config.Backends {
		for position := range pool.Workers {
			worker := &Backend{config: pool, faults: e.faults, auditor: e.auditor}
			endpoint, err := e.listen(e.withGreyFailures(http.HandlerFunc(worker.serve), position, pool.Workers))
			if err != nil {
				return err
			}
			e.addresses.Backends[pool.Name] = append(e.addresses.Backends[pool.Name], endpoint)
		}
	}
	return nil
}

func (e *Environment) startPlatform() error {
	routes := mux.NewRouter()
	routes.HandleFunc("/v1/machines", e.serveMachines).Methods(http.MethodGet)
	routes.HandleFunc("/emulator/audit", e.serveAudit).Methods(http.MethodGet)
	routes.HandleFunc("/emulator/faults", e.serveFaults).Methods(http.MethodPost)
	routes.HandleFunc("/emulator/leave/{machine}", e.serveLeave).Methods(http.MethodPost)
	routes.HandleFunc("/emulator/remove/{machine}", e.serveRemove).Methods(http.MethodPost)
	routes.HandleFunc("/emulator/restart/{machine}", e.serveRestart).Methods(http.MethodPost)
	var err error
	if e.addresses.Platform, err = e.listen(routes); err != nil {
		return err
	}
	e.addresses.Store, err = e.listen(e.store.handler())
	return err
}

// Addresses returns the base URLs of all systems.
func (e *Environment) Addresses() Addresses {
	return e.addresses
}

// Engine returns the engine of a machine, or nil.
func (e *Environment) Engine(machine string) *Engine {
	return e.engines[machine]
}

// Audit returns the current counts.
func (e *Environment) Audit() Audit {
	return e.auditor.snapshot()
}

// Close stops all listeners and engines.
func (e *Environment) Close() {
	for _, server := range e.servers {
		_ = server.Close()
	}
	for _, running := range e.engines {
		running.mutex.Lock()
		running.stopProcess()
		running.mutex.Unlock()
	}
}

func (e *Environment) leavingSince(machine string) (time.Time, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	since, leaving := e.leaving[machine]
	return since, leaving
}

// recordList stores the current list for delayed readers.
func (e *Environment) recordList() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.history = append(e.history, listVersion{time.Now(), append([]platform.Machine(nil), e.machines...)})
}

func (e *Environment) serveMachines(writer http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	shown := e.history[0].machines
	for _, version := range e.history {
		if time.Since(version.at) >= e.config.Machines.ListLag {
			shown = version.machines
		}
	}
	e.mutex.Unlock()
	_ = json.NewEncoder(writer).Encode(platform.MachineList{Machines: shown})
}

func (e *Environment) serveAudit(writer http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(writer).Encode(e.Audit())
}

func (e *Environment) serveFaults(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	e.faults.set(faults)
}

// Leave lists a machine as leaving.
func (e *Environment) Leave(machine string) {
	e.mutex.Lock()
	for position := range e.machines {
		if e.machines[position].Name == machine {
			e.machines[position].State = platform.MachineLeaving
		}
	}
	if _, known := e.leaving[machine]; !known {
		// The machine counts as leaving from when the delayed list shows it.
		e.leaving[machine] = time.Now().Add(e.config.Machines.ListLag)
	}
	e.mutex.Unlock()
	e.recordList()
}

func (e *Environment) serveLeave(writer http.ResponseWriter, request *http.Request) {
	e.Leave(mux.Vars(request)["machine"])
	writer.WriteHeader(http.StatusNoContent)
}

func (e *Environment) serveRemove(writer http.ResponseWriter, request *http.Request) {
	name := mux.Vars(request)["machine"]
	e.mutex.Lock()
	var kept []platform.Machine
	for _, machine := range e.machines {
		if machine.Name != name {
			kept = append(kept, machine)
		}
	}
	e.machines = kept
	e.mutex.Unlock()
	e.recordList()
	if removed := e.engines[name]; removed != nil {
		removed.Restart()
	}
	writer.WriteHeader(http.StatusNoContent)
}

func (e *Environment) serveRestart(writer http.ResponseWriter, request *http.Request) {
	restarted := e.Engine(mux.Vars(request)["machine"])
	if restarted == nil {
		http.Error(writer, "no such machine", http.StatusNotFound)
		return
	}
	restarted.Restart()
}
