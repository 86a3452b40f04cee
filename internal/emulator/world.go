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

// Addresses tells where everything listens.
type Addresses struct {
	Platform string              `json:"platform"`
	Store    string              `json:"store"`
	Engines  map[string]string   `json:"engines"`
	Backends map[string][]string `json:"backends"`
}

// Environment is the running surroundings.
type Environment struct {
	config    *Config
	auditor   *auditor
	faults    *faultSource
	store     *Store
	engines   map[string]*Engine
	addresses Addresses
	servers   []*http.Server

	mutex sync.Mutex
	// current is the true machine list; history holds what it was.
	current []platform.Machine
	history []listVersion
	leaving map[string]time.Time
}

type listVersion struct {
	at       time.Time
	machines []platform.Machine
}

// Start listens on ports that the kernel chooses.
func Start(config *Config) (*Environment, error) {
	world := &Environment{
		config: config, auditor: newAuditor(), faults: newFaultSource(config.Seed, config.Faults),
		engines: map[string]*Engine{}, leaving: map[string]time.Time{},
		addresses: Addresses{Engines: map[string]string{}, Backends: map[string][]string{}},
	}
	world.store = newStore(config.Store, world.auditor)
	steps := []func() error{world.startEngines, world.startBackends, world.startPlatform}
	for _, step := range steps {
		if err := step(); err != nil {
			world.Close()
			return nil, err
		}
	}
	world.remember()
	return world, nil
}

func (w *Environment) listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(w.config.Host, "0"))
	if err != nil {
		return "", fault.Unavailable.Wrap(err, "listening for the emulator")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

func (w *Environment) startEngines() error {
	for position := range w.config.Machines.Count {
		name := fmt.Sprintf("worker-%03d", position+1)
		created := newEngine(name, w.config, w.faults, w.store, w.auditor, w.leavingSince)
		endpoint, err := w.listen(w.greyed(created.handler(), position, w.config.Machines.Count))
		if err != nil {
			return err
		}
		w.engines[name] = created
		w.addresses.Engines[name] = endpoint
		w.current = append(w.current, platform.Machine{
			Name: name, Zone: w.config.Machines.Zones[position%len(w.config.Machines.Zones)], Endpoint: endpoint,
			Accelerators: w.config.Machines.Accelerators, AcceleratorBytes: w.config.Machines.AcceleratorBytes,
			State: platform.MachineLive,
		})
	}
	return nil
}

func (w *Environment) startBackends() error {
	for _, pool := range w.config.Backends {
		for position := range pool.Workers {
			worker := &Backend{config: pool, faults: w.faults, auditor: w.auditor}
			endpoint, err := w.listen(w.greyed(http.HandlerFunc(worker.serve), position, pool.Workers))
			if err != nil {
				return err
			}
			w.addresses.Backends[pool.Name] = append(w.addresses.Backends[pool.Name], endpoint)
		}
	}
	return nil
}

func (w *Environment) startPlatform() error {
	routes := mux.NewRouter()
	routes.HandleFunc("/v1/machines", w.serveMachines).Methods(http.MethodGet)
	routes.HandleFunc("/emulator/audit", w.serveAudit).Methods(http.MethodGet)
	routes.HandleFunc("/emulator/faults", w.serveFaults).Methods(http.MethodPost)
	routes.HandleFunc("/emulator/leave/{machine}", w.serveLeave).Methods(http.MethodPost)
	routes.HandleFunc("/emulator/remove/{machine}", w.serveRemove).Methods(http.MethodPost)
	routes.HandleFunc("/emulator/restart/{machine}", w.serveRestart).Methods(http.MethodPost)
	var err error
	if w.addresses.Platform, err = w.listen(routes); err != nil {
		return err
	}
	w.addresses.Store, err = w.listen(w.store.handler())
	return err
}

// Addresses tells where everything listens.
func (w *Environment) Addresses() Addresses {
	return w.addresses
}

// Engine returns an engine by its machine's name.
func (w *Environment) Engine(machine string) *Engine {
	return w.engines[machine]
}

// Audit returns the present counts.
func (w *Environment) Audit() Audit {
	return w.auditor.snapshot()
}

// Close stops listening and ends everything in flight.
func (w *Environment) Close() {
	for _, server := range w.servers {
		_ = server.Close()
	}
	for _, running := range w.engines {
		running.mutex.Lock()
		running.kill()
		running.mutex.Unlock()
	}
}

func (w *Environment) leavingSince(machine string) (time.Time, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	since, leaving := w.leaving[machine]
	return since, leaving
}

// remember keeps the present list, for readers who get it late.
func (w *Environment) remember() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.history = append(w.history, listVersion{time.Now(), append([]platform.Machine(nil), w.current...)})
}

func (w *Environment) serveMachines(writer http.ResponseWriter, _ *http.Request) {
	w.mutex.Lock()
	shown := w.history[0].machines
	for _, version := range w.history {
		if time.Since(version.at) >= w.config.Machines.ListLag {
			shown = version.machines
		}
	}
	w.mutex.Unlock()
	_ = json.NewEncoder(writer).Encode(platform.MachineList{Machines: shown})
}

func (w *Environment) serveAudit(writer http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(writer).Encode(w.Audit())
}

func (w *Environment) serveFaults(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	w.faults.set(faults)
}

// Leave lists a machine as leaving.
func (w *Environment) Leave(machine string) {
	w.mutex.Lock()
	for position := range w.current {
		if w.current[position].Name == machine {
			w.current[position].State = platform.MachineLeaving
		}
	}
	if _, known := w.leaving[machine]; !known {
		// Audited from when the list shows it: nobody can know earlier.
		w.leaving[machine] = time.Now().Add(w.config.Machines.ListLag)
	}
	w.mutex.Unlock()
	w.remember()
}

func (w *Environment) serveLeave(writer http.ResponseWriter, request *http.Request) {
	w.Leave(mux.Vars(request)["machine"])
	writer.WriteHeader(http.StatusNoContent)
}

func (w *Environment) serveRemove(writer http.ResponseWriter, request *http.Request) {
	name := mux.Vars(request)["machine"]
	w.mutex.Lock()
	var kept []platform.Machine
	for _, machine := range w.current {
		if machine.Name != name {
			kept = append(kept, machine)
		}
	}
	w.current = kept
	w.mutex.Unlock()
	w.remember()
	if removed := w.engines[name]; removed != nil {
		removed.Restart()
	}
	writer.WriteHeader(http.StatusNoContent)
}

// serveRestart ends an engine process and starts the next.
func (w *Environment) serveRestart(writer http.ResponseWriter, request *http.Request) {
	restarted := w.Engine(mux.Vars(request)["machine"])
	if restarted == nil {
		http.Error(writer, "no such machine", http.StatusNotFound)
		return
	}
	restarted.Restart()
}
