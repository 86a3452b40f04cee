// Package settings reads the settings file of a weldline node.
//
// The file is YAML. Unknown keys, wrong units, values out of range and
// addresses used twice are refused with the key and, where the parser knows
// it, the line.
package settings

import (
	"bytes"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/weldline/weldline/internal/fault"
)

// Role is a part that a node plays.
type Role string

// The roles of a node.
const (
	// RoleControl is a member of the replicated log.
	RoleControl Role = "control"
	// RoleRouter is the callers' gateway, and agent of the machines near it.
	RoleRouter Role = "router"
	// RoleRelay passes the control plane's stream on to the nodes of a zone.
	RoleRelay Role = "relay"
)

// Settings are the settings of one node.
type Settings struct {
	// Cluster names the cluster; processes of different clusters refuse each
	// other. Required.
	Cluster string `yaml:"cluster"`
	// Node is the node's name, unique in the cluster. Required.
	Node string `yaml:"node"`
	// Zone is where the node stands. Required.
	Zone string `yaml:"zone"`
	// Roles are the parts it plays: control, router, relay. Required.
	Roles []Role `yaml:"roles"`
	// DataDir is the data folder. Required for control.
	DataDir string `yaml:"dataDir"`
	// Admin is the address of /metrics, /healthz and /readyz. Required.
	Admin string `yaml:"admin"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `yaml:"logLevel"`
	// AllowPlaintext permits addresses other than loopback without TLS.
	AllowPlaintext bool `yaml:"allowPlaintext"`

	Control  ControlSettings  `yaml:"control"`
	Router   RouterSettings   `yaml:"router"`
	Relay    RelaySettings    `yaml:"relay"`
	Platform PlatformSettings `yaml:"platform"`
	Policy   PolicySettings   `yaml:"policy"`
}

// Member is a control node.
type Member struct {
	// ID is the node's id in the replicated log, from 1. Never reused.
	ID uint64 `yaml:"id"`
	// Address is where it listens for other processes: IP and port.
	Address string `yaml:"address"`
	// Learner makes it a standby that joins as a voter when one is lost.
	Learner bool `yaml:"learner"`
}

// ControlSettings are for the control role.
type ControlSettings struct {
	// ID is this node's id among the members.
	ID uint64 `yaml:"id"`
	// Listen is the address for other processes.
	Listen string `yaml:"listen"`
	// API is the address of the resource API.
	API string `yaml:"api"`
	// Members are the control nodes, this one included.
	Members []Member `yaml:"members"`
	// ElectionTimeout is how long followers wait for a leader. Default 1s.
	ElectionTimeout time.Duration `yaml:"electionTimeout"`
	// HeartbeatInterval is how often the leader sends. Default 100ms.
	HeartbeatInterval time.Duration `yaml:"heartbeatInterval"`
	// LeaseMargin covers differences of clock rate. Default 100ms.
	LeaseMargin time.Duration `yaml:"leaseMargin"`
	// CompactEvery is how many entries lie between snapshots. Default 4096.
	CompactEvery uint64 `yaml:"compactEvery"`
	// ReplaceAfter is how long a silent voter keeps its place before a
	// learner takes it. Default 30s.
	ReplaceAfter time.Duration `yaml:"replaceAfter"`
	// ReadToken and WriteToken are required from operators if set.
	ReadToken  string `yaml:"readToken"`
	WriteToken string `yaml:"writeToken"`
}

// RouterSettings are for the router role.
type RouterSettings struct {
	// Listen is the callers' address.
	Listen string `yaml:"listen"`
	// Upstreams are the control nodes or relays to follow, in order of
	// preference.
	Upstreams []string `yaml:"upstreams"`
	// MaxWaiting bounds the requests that wait for a replica. Default 4096.
	MaxWaiting int `yaml:"maxWaiting"`
	// MaxBodyBytes bounds a request body. Default 4 MiB.
	MaxBodyBytes int64 `yaml:"maxBodyBytes"`
	// ReportInterval is how often the router reports demand. Default 250ms.
	ReportInterval time.Duration `yaml:"reportInterval"`
	// PollInterval is how often an agent asks an engine. Default 250ms.
	PollInterval time.Duration `yaml:"pollInterval"`
	// DrainTimeout bounds a planned stop. Default 60s.
	DrainTimeout time.Duration `yaml:"drainTimeout"`
}

// RelaySettings are for the relay role.
type RelaySettings struct {
	// Listen is the address for the nodes of the zone.
	Listen string `yaml:"listen"`
	// Upstreams are the control nodes to follow.
	Upstreams []string `yaml:"upstreams"`
}

// PlatformSettings describe the surroundings.
type PlatformSettings struct {
	// MachineList is the URL of the platform's machine list; may be empty.
	MachineList string `yaml:"machineList"`
	// MachineListInterval is how often it is read. Default 1s.
	MachineListInterval time.Duration `yaml:"machineListInterval"`
	// StoreLoadsPerSecond is the rate that the weight store admits. Default 3.
	StoreLoadsPerSecond float64 `yaml:"storeLoadsPerSecond"`
	// StoreConcurrentLoads is how many it serves at full speed. Default 6.
	StoreConcurrentLoads int `yaml:"storeConcurrentLoads"`
}

// PolicySettings tune placement.
type PolicySettings struct {
	// Name is the keep-alive policy. Default "adaptive".
	Name string `yaml:"name"`
	// MachineTimeout is how long a silent machine keeps its work. Default 3s.
	MachineTimeout time.Duration `yaml:"machineTimeout"`
}

// Load reads, defaults and validates a settings file.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.InvalidField("config", "can't read the settings file: %s", err.Error())
	}
	return Parse(content)
}

// Parse reads, defaults and validates settings.
func Parse(content []byte) (*Settings, error) {
	settings := &Settings{}
	decoder := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict())
	if err := decoder.Decode(settings); err != nil {
		return nil, fault.InvalidField("settings", "%s", yaml.FormatError(err, false, false))
	}
	return settings, settings.Complete()
}

// Complete fills in the defaults and checks everything.
func (s *Settings) Complete() error {
	s.setDefaults()
	return s.validate()
}

func setDefault[T comparable](target *T, value T) {
	var zero T
	if *target == zero {
		*target = value
	}
}

func (s *Settings) setDefaults() {
	setDefault(&s.LogLevel, "info")
	setDefault(&s.Control.ElectionTimeout, time.Second)
	setDefault(&s.Control.HeartbeatInterval, 100*time.Millisecond)
	setDefault(&s.Control.LeaseMargin, 100*time.Millisecond)
	setDefault(&s.Control.CompactEvery, 4096)
	setDefault(&s.Control.ReplaceAfter, 30*time.Second)
	setDefault(&s.Router.MaxWaiting, 4096)
	setDefault(&s.Router.MaxBodyBytes, 4<<20)
	setDefault(&s.Router.ReportInterval, 250*time.Millisecond)
	setDefault(&s.Router.PollInterval, 250*time.Millisecond)
	setDefault(&s.Router.DrainTimeout, time.Minute)
	setDefault(&s.Platform.MachineListInterval, time.Second)
	setDefault(&s.Platform.StoreLoadsPerSecond, 3)
	setDefault(&s.Platform.StoreConcurrentLoads, 6)
	setDefault(&s.Policy.Name, "adaptive")
	setDefault(&s.Policy.MachineTimeout, 3*time.Second)
}

// Has reports whether the node plays a role.
func (s *Settings) Has(role Role) bool {
	return slices.Contains(s.Roles, role)
}

func (s *Settings) validate() error {
	checks := []func() error{
		s.validateIdentity, s.validateRoles, s.validateControl, s.validateRouter,
		s.validateRelay, s.validateRanges, s.validateAddresses,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func require(field, value string) error {
	if value == "" {
		return fault.InvalidField(field, "%s is required", field)
	}
	return nil
}

func (s *Settings) validateIdentity() error {
	for _, required := range []struct{ field, value string }{
		{"cluster", s.Cluster}, {"node", s.Node}, {"zone", s.Zone}, {"admin", s.Admin},
	} {
		if err := require(required.field, required.value); err != nil {
			return err
		}
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel) {
		return fault.InvalidField("logLevel", "%q is not debug, info, warn or error", s.LogLevel)
	}
	return nil
}

func (s *Settings) validateRoles() error {
	if len(s.Roles) == 0 {
		return fault.InvalidField("roles", "at least one role is required")
	}
	for _, role := range s.Roles {
		if role != RoleControl && role != RoleRouter && role != RoleRelay {
			return fault.InvalidField("roles", "%q is not control, router or relay", string(role))
		}
	}
	return nil
}

func (s *Settings) validateControl() error {
	if !s.Has(RoleControl) {
		return nil
	}
	if err := require("dataDir", s.DataDir); err != nil {
		return err
	}
	if err := require("control.api", s.Control.API); err != nil {
		return err
	}
	ids := map[uint64]bool{}
	for position, member := range s.Control.Members {
		field := "control.members[" + strconv.Itoa(position) + "]"
		if member.ID == 0 || ids[member.ID] {
			return fault.InvalidField(field+".id", "must be at least 1 and not used twice")
		}
		ids[member.ID] = true
	}
	if !ids[s.Control.ID] {
		return fault.InvalidField("control.id", "%d is not among control.members", s.Control.ID)
	}
	return s.validateTimeouts()
}

func (s *Settings) validateTimeouts() error {
	if s.Control.HeartbeatInterval*3 > s.Control.ElectionTimeout {
		return fault.InvalidField("control.heartbeatInterval", "must be at most a third of electionTimeout")
	}
	if s.Control.LeaseMargin >= s.Control.ElectionTimeout/2 {
		return fault.InvalidField("control.leaseMargin", "must be less than half of electionTimeout")
	}
	return nil
}

func (s *Settings) validateRouter() error {
	if !s.Has(RoleRouter) {
		return nil
	}
	if err := require("router.listen", s.Router.Listen); err != nil {
		return err
	}
	if len(s.Router.Upstreams) == 0 {
		return fault.InvalidField("router.upstreams", "at least one upstream is required")
	}
	return nil
}

func (s *Settings) validateRelay() error {
	if !s.Has(RoleRelay) {
		return nil
	}
	if err := require("relay.listen", s.Relay.Listen); err != nil {
		return err
	}
	if len(s.Relay.Upstreams) == 0 {
		return fault.InvalidField("relay.upstreams", "at least one upstream is required")
	}
	return nil
}

func (s *Settings) validateRanges() error {
	durations := []struct {
		field     string
		value     time.Duration
		low, high time.Duration
	}{
		{"control.electionTimeout", s.Control.ElectionTimeout, 50 * time.Millisecond, time.Minute},
		{"control.heartbeatInterval", s.Control.HeartbeatInterval, 5 * time.Millisecond, 10 * time.Second},
		{"control.replaceAfter", s.Control.ReplaceAfter, time.Second, 24 * time.Hour},
		{"router.reportInterval", s.Router.ReportInterval, 10 * time.Millisecond, 10 * time.Second},
		{"router.pollInterval", s.Router.PollInterval, 10 * time.Millisecond, 10 * time.Second},
		{"router.drainTimeout", s.Router.DrainTimeout, time.Second, time.Hour},
		{"platform.machineListInterval", s.Platform.MachineListInterval, 50 * time.Millisecond, time.Minute},
		{"policy.machineTimeout", s.Policy.MachineTimeout, 500 * time.Millisecond, time.Hour},
	}
	for _, duration := range durations {
		if duration.value < duration.low || duration.value > duration.high {
			return fault.InvalidField(duration.field, "%s: %s is not between %s and %s", duration.field, duration.value, duration.low, duration.high)
		}
	}
	if s.Platform.StoreLoadsPerSecond <= 0 || s.Platform.StoreConcurrentLoads <= 0 {
		return fault.InvalidField("platform.storeLoadsPerSecond", "store limits must be above 0")
	}
	return nil
}

// validateAddresses checks that every address is an IP and a port, that none
// this node listens on is named twice, and that plain text stays on loopback.
func (s *Settings) validateAddresses() error {
	seen := map[string]string{}
	for _, listen := range s.listenAddresses() {
		if listen.value == "" {
			continue
		}
		address, err := netip.ParseAddrPort(listen.value)
		if err != nil {
			return fault.InvalidField(listen.field, "%s: %q is not an IP address and a port", listen.field, listen.value)
		}
		if other, found := seen[listen.value]; found && address.Port() != 0 {
			return fault.InvalidField(listen.field, "%s: %s is already the address of %s", listen.field, listen.value, other)
		}
		seen[listen.value] = listen.field
		if !address.Addr().IsLoopback() && !s.AllowPlaintext {
			return fault.InvalidField(listen.field, "%s: %s is not loopback; set allowPlaintext to listen there without TLS", listen.field, listen.value)
		}
	}
	return s.validatePeers()
}

type namedAddress struct{ field, value string }

func (s *Settings) listenAddresses() []namedAddress {
	return []namedAddress{
		{"admin", s.Admin},
		{"control.listen", s.Control.Listen},
		{"control.api", s.Control.API},
		{"router.listen", s.Router.Listen},
		{"relay.listen", s.Relay.Listen},
	}
}

func (s *Settings) validatePeers() error {
	var peers []namedAddress
	for position, member := range s.Control.Members {
		peers = append(peers, namedAddress{"control.members[" + strconv.Itoa(position) + "].address", member.Address})
	}
	for position, upstream := range s.Router.Upstreams {
		peers = append(peers, namedAddress{"router.upstreams[" + strconv.Itoa(position) + "]", upstream})
	}
	for position, upstream := range s.Relay.Upstreams {
		peers = append(peers, namedAddress{"relay.upstreams[" + strconv.Itoa(position) + "]", upstream})
	}
	for _, peer := range peers {
		if _, err := netip.ParseAddrPort(peer.value); err != nil {
			return fault.InvalidField(peer.field, "%s: %q is not an IP address and a port", peer.field, peer.value)
		}
	}
	return nil
}
