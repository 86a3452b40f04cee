package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bench is the stand-in of the platform.
type bench struct {
	folder  string
	started time.Time
	output  *os.File
	trouble bool

	mutex sync.Mutex
	nodes []*node

	// Ports are alike on all machines.
	controlPort, frontPort, readyPort, peerPort, adminPort int
	seeds                                                  []string
}

// node is a machine with one process.
type node struct {
	bench    *bench
	name, ip string
	role     string
	zone     string

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// killed is set if this program ended the process.
	killed bool
}

func newBench(record string) (*bench, error) {
	output, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	created := &bench{folder: folder, started: time.Now(), output: output, trouble: os.Getenv("TROUBLE") != "0"}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-stopped
		created.record("the case was stopped")
		created.close()
		os.Exit(exitNotRun)
	}()
	return created, nil
}

// record writes a line with the time since the start.
func (b *bench) record(format string, arguments ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(b.started).Seconds()) + fmt.Sprintf(format, arguments...) + "\n"
	b.mutex.Lock()
	defer b.mutex.Unlock()
	_, _ = b.output.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

func (b *bench) close() {
	for _, held := range b.nodes {
		held.kill()
	}
	// KEEP=1 keeps the settings, logs and disks of the nodes.
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.folder)
	}
	_ = b.output.Close()
}

// choosePorts finds ports that are free on all the given hosts.
func (b *bench) choosePorts(hosts ...string) {
	taken := map[int]bool{}
	for _, target := range []*int{&b.controlPort, &b.frontPort, &b.readyPort, &b.peerPort, &b.adminPort} {
		for *target == 0 {
			listener, err := net.Listen("tcp", net.JoinHostPort(hosts[0], "0"))
			need(err == nil, "no port: %v", err)
			_, text, _ := net.SplitHostPort(listener.Addr().String())
			port, _ := strconv.Atoi(text)
			free := !taken[port]
			for _, host := range hosts[1:] {
				other, err := net.Listen("tcp", net.JoinHostPort(host, text))
				if err != nil {
					free = false
					continue
				}
				_ = other.Close()
			}
			_ = listener.Close()
			taken[port] = true
			if free {
				*target = port
			}
		}
	}
}

func controlIP(number int) string { return fmt.Sprintf("127.83.1.%d", number) }

func frontIP(number int) string { return fmt.Sprintf("127.83.2.%d", number) }

// build prepares the machines of a small deployment, as on the sheet of the Ramlochun Replay Service.
func (b *bench) build(controls, fronts int) (control, front []*node) {
	var hosts []string
	for number := 1; number <= controls; number++ {
		hosts = append(hosts, controlIP(number))
	}
	for number := 1; number <= fronts; number++ {
		hosts = append(hosts, frontIP(number))
	}
	b.choosePorts(hosts...)
	for number := 1; number <= controls; number++ {
		control = append(control, &node{bench: b, name: fmt.Sprintf("core-%d", number), ip: controlIP(number), role: "control", zone: zones[(number-1)%len(zones)]})
	}
	for number := 1; number <= fronts; number++ {
		front = append(front, &node{bench: b, name: fmt.Sprintf("front-%d", number), ip: frontIP(number), role: "ingress", zone: zones[(number-1)%len(zones)]})
	}
	for _, held := range control[:min(3, len(control))] {
		b.seeds = append(b.seeds, held.controlAddress())
	}
	b.nodes = append(append(b.nodes, control...), front...)
	return control, front
}

func (n *node) controlAddress() string { return fmt.Sprintf("%s:%d", n.ip, n.bench.controlPort) }

func (n *node) frontAddress() string { return fmt.Sprintf("%s:%d", n.ip, n.bench.frontPort) }

func (n *node) readyAddress() string { return fmt.Sprintf("%s:%d", n.ip, n.bench.readyPort) }

func (n *node) dataDir() string { return filepath.Join(n.bench.folder, n.name) }

var zones = []string{"hall-pl", "hall-eb", "hall-gb", "hall-pb"}

// settings returns the fields that the platform knows of a machine.
func (n *node) settings(bootstrap bool) map[string]any {
	regions := map[string]any{}
	for _, zone := range zones {
		regions[zone] = "mu-north"
	}
	seeds := make([]any, 0, len(n.bench.seeds))
	for _, seed := range n.bench.seeds {
		seeds = append(seeds, seed)
	}
	return map[string]any{
		"node": n.name, "zone": n.zone, "zones": regions, "ip": n.ip, "data_dir": n.dataDir(),
		"internal_ports": []any{n.bench.peerPort, n.bench.adminPort},
		"listen":         map[string]any{"front": n.frontAddress(), "ready": n.readyAddress(), "control": n.controlAddress()},
		"seeds":          seeds, "bootstrap": bootstrap, "heartbeat_ms": 1200,
		"fault_tolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"lease_ms": 3000, "grace_s": 8, "retry_budget_ratio": 0.2, "retry_budget_slack": 54, "budget_window_s": 10,
		},
	}
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/[a-z_.0-9]+\}\}`)
	gapPattern     = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// fillTemplate fills the forms of gaps that the project's templates use.
func fillTemplate(template string, fields map[string]any) string {
	template = sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		if lookUp(fields, parts[1]) == nil {
			return ""
		}
		return parts[2]
	})
	return gapPattern.ReplaceAllStringFunc(template, func(gap string) string {
		parts := gapPattern.FindStringSubmatch(gap)
		value := lookUp(fields, parts[1])
		if text, isText := value.(string); isText && parts[2] == "" {
			return text
		}
		encoded, _ := json.Marshal(value)
		return string(encoded)
	})
}

func lookUp(fields any, path string) any {
	for name := range strings.SplitSeq(path, ".") {
		switch held := fields.(type) {
		case map[string]any:
			fields = held[name]
		case []any:
			position, _ := strconv.Atoi(name)
			fields = held[position]
		default:
			return nil
		}
	}
	return fields
}

// start starts the node's process with the command of the deploy file.
func (n *node) start(bootstrap bool) {
	template, err := os.ReadFile("deploy/" + n.role + ".yaml")
	need(err == nil, "no template: %v", err)
	if n.role == "control" {
		need(os.MkdirAll(n.dataDir(), 0o750) == nil, "no data folder")
	}
	path := filepath.Join(n.bench.folder, n.name+".yaml")
	err = os.WriteFile(path, []byte(fillTemplate(string(template), n.settings(bootstrap))), 0o600)
	need(err == nil, "no settings: %v", err)
	log, err := os.OpenFile(filepath.Join(n.bench.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	need(err == nil, "no log: %v", err)
	command := exec.Command("target/weldnode")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "WELDLINE_BOOT=" + path}
	command.Stdout, command.Stderr = log, log
	need(command.Start() == nil, "%s did not start", n.name)
	_ = log.Close()
	ended := make(chan struct{})
	n.mutex.Lock()
	n.command, n.ended, n.killed = command, ended, false
	n.mutex.Unlock()
	n.bench.record("%s started, first start %t", n.name, bootstrap)
	go func() {
		err := command.Wait()
		n.mutex.Lock()
		killed := n.killed
		n.mutex.Unlock()
		if !killed {
			n.bench.record("%s ended by itself: %v", n.name, err)
		}
		close(ended)
	}()
}

// kill ends the node's process, as a kill or a loss of power does, and waits for its end.
func (n *node) kill() {
	n.mutex.Lock()
	command, ended := n.command, n.ended
	n.killed = true
	n.mutex.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-ended
}

// logLines returns the log lines of a node that contain a text.
func (n *node) logLines(text string) []string {
	content, err := os.ReadFile(filepath.Join(n.bench.folder, n.name+".log"))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil
	}
	var found []string
	for line := range strings.Lines(string(content)) {
		if strings.Contains(line, text) {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}

// eventually waits for a condition.
func eventually(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func drain(body io.ReadCloser) string {
	content, _ := io.ReadAll(io.LimitReader(body, 1<<20))
	_ = body.Close()
	return string(content)
}
