package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	controlCount = 3
	// restartDelay is how long the platform waits before it starts a process again.
	restartDelay = 300 * time.Millisecond
	// heartbeatMs is the interval of workers' heartbeats in the settings.
	heartbeatMs = 1200
	// serveTimeout bounds the time until the fronts serve.
	serveTimeout = 30 * time.Second
)

// stage is a small deployment: weldnode processes on loopback addresses, started as the deploy file says.
type stage struct {
	log     *recorder
	root    string
	folder  string
	network string
	// ports that are alike on all machines
	frontPort, readyPort, controlPort int
	internalPorts                     []int
	controls, fronts                  []*process
}

// process is one machine's weldnode process, which the stage starts again whenever it ends.
type process struct {
	name, ip, settings, logPath string
	root                        string
	log                         *recorder

	mutex   sync.Mutex
	command *exec.Cmd
	// ended is closed when the current process has ended.
	ended   chan struct{}
	closing bool
	// starts counts the starts of the process.
	starts int
}

// newStage starts the processes. They are ended by close.
func newStage(root string, log *recorder, fronts int) (*stage, error) {
	folder, err := os.MkdirTemp("", "weldline-case-")
	if err != nil {
		return nil, err
	}
	created := &stage{log: log, root: root, folder: folder, network: fmt.Sprintf("127.%d.%d", 64+rand.IntN(64), 1+rand.IntN(250))}
	ports, err := freePorts(created.network+".11", 5)
	if err != nil {
		return nil, err
	}
	created.frontPort, created.readyPort, created.controlPort, created.internalPorts = ports[0], ports[1], ports[2], ports[3:]
	for number := range controlCount {
		created.controls = append(created.controls, created.newProcess("control", number, created.host(11+number)))
	}
	for number := range fronts {
		created.fronts = append(created.fronts, created.newProcess("front", number, created.host(31+number)))
	}
	for _, started := range append(append([]*process{}, created.controls...), created.fronts...) {
		if err := created.start(started); err != nil {
			created.close()
			return nil, err
		}
	}
	return created, nil
}

// freePorts returns ports that are free on a loopback address, and so on the others of the case's network.
func freePorts(host string, count int) ([]int, error) {
	ports := make([]int, 0, count)
	for range count {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

func (s *stage) host(number int) string { return s.network + "." + strconv.Itoa(number) }

func (s *stage) newProcess(class string, number int, ip string) *process {
	name := class + "-" + strconv.Itoa(number)
	return &process{
		name: name, ip: ip, settings: filepath.Join(s.folder, name+".yaml"), logPath: filepath.Join(s.folder, name+".log"), root: s.root, log: s.log,
	}
}

// start writes a process's settings and starts it.
func (s *stage) start(started *process) error {
	template, class := "deploy/ingress.yaml", "front"
	if started.name[0] == 'c' {
		template, class = "deploy/control.yaml", "core"
	}
	content, err := os.ReadFile(filepath.Join(s.root, template))
	if err != nil {
		return err
	}
	if err := os.WriteFile(started.settings, []byte(fill(string(content), s.fields(started, class))), 0o600); err != nil {
		return err
	}
	return started.run()
}

// fields are the fields of a machine's settings file, with the bounds of the site ramlochun-replay.
func (s *stage) fields(described *process, class string) map[string]any {
	seeds := make([]string, 0, controlCount)
	for number := range controlCount {
		seeds = append(seeds, net.JoinHostPort(s.host(11+number), strconv.Itoa(s.controlPort)))
	}
	zones := []string{"hall-pl", "hall-eb", "hall-gb"}
	fields := map[string]any{
		"node": described.name, "machine_class": class, "ip": described.ip, "zone": zones[int(described.name[len(described.name)-1]-'0')%len(zones)],
		"zones":          map[string]string{"hall-pl": "mu-north", "hall-eb": "mu-north", "hall-gb": "mu-north"},
		"internal_ports": s.internalPorts, "seeds": seeds, "bootstrap": true, "heartbeat_ms": heartbeatMs,
		"data_dir": filepath.Join(s.folder, "data-"+described.name),
		"limits":   map[string]any{"link_mbps": 1000},
		"listen": map[string]any{
			"front": net.JoinHostPort(described.ip, strconv.Itoa(s.frontPort)), "ready": net.JoinHostPort(described.ip, strconv.Itoa(s.readyPort)),
			"control": net.JoinHostPort(described.ip, strconv.Itoa(s.controlPort)),
		},
		"fault_tolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds":          map[string]any{"grace_s": 8, "lease_ms": 3000, "retry_budget_ratio": 0.2, "retry_budget_slack": 54, "budget_window_s": 10},
	}
	return fields
}

// run starts the process and starts it again when it ends.
func (p *process) run() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closing {
		return nil
	}
	output, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/weldnode")
	command.Dir, command.Stdout, command.Stderr = p.root, output, output
	command.Env = append(os.Environ(), "WELDLINE_BOOT="+p.settings)
	if err := command.Start(); err != nil {
		return err
	}
	p.command, p.ended = command, make(chan struct{})
	p.starts++
	p.log.write("platform: %s started, start %d", p.name, p.starts)
	go p.await(command, p.ended, output)
	return nil
}

func (p *process) await(command *exec.Cmd, ended chan struct{}, output *os.File) {
	err := command.Wait()
	_ = output.Close()
	close(ended)
	p.mutex.Lock()
	closing := p.closing
	p.mutex.Unlock()
	if closing {
		return
	}
	p.log.write("platform: %s ended: %v", p.name, err)
	time.Sleep(restartDelay)
	if err := p.run(); err != nil {
		p.log.write("platform: %s not started: %v", p.name, err)
	}
}

// signal sends a signal to the current process.
func (p *process) signal(sent syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.log.write("platform: %s gets %s", p.name, sent)
	_ = p.command.Process.Signal(sent)
}

// end kills the process for good.
func (p *process) end() {
	p.mutex.Lock()
	p.closing = true
	command, ended := p.command, p.ended
	p.mutex.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGKILL)
	<-ended
}

// close ends all processes and removes their files, unless KEEP is set.
func (s *stage) close() {
	for _, started := range append(append([]*process{}, s.controls...), s.fronts...) {
		started.end()
	}
	if os.Getenv("KEEP") != "" {
		s.log.write("kept the logs")
		return
	}
	_ = os.RemoveAll(s.folder)
}

func (s *stage) frontAddress(number int) string {
	return net.JoinHostPort(s.fronts[number].ip, strconv.Itoa(s.frontPort))
}

func (s *stage) controlAddress(number int) string {
	return net.JoinHostPort(s.controls[number%len(s.controls)].ip, strconv.Itoa(s.controlPort))
}

// awaitReady waits until all fronts say that they are ready.
func (s *stage) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	client := &http.Client{Timeout: time.Second}
	for _, front := range s.fronts {
		for {
			response, err := client.Get("http://" + net.JoinHostPort(front.ip, strconv.Itoa(s.readyPort)) + "/v1/readiness")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if err := pause(ctx, 50*time.Millisecond); err != nil {
				return fmt.Errorf("%s does not get ready: %w", front.name, err)
			}
		}
	}
	return nil
}

// pause waits, unless ctx ends first.
func pause(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}
