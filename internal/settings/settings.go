// Package settings reads the settings file of a weldline node.
//
// The file is YAML. Unknown keys, wrong units, values out of range and
// addresses used twice are refused with the key and, where the parser knows
// it, the line.
package settings

import (
	"bytes"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/keys"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/quota"
	"github.com/weldline/weldline/internal/warming"
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
	// RoleIngress forwards callers' requests by the declared routes to the
	// machines that registered.
	RoleIngress Role = "ingress"
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
	// Zones maps each zone to the region that it lies in. Places whose region is not told are
	// far from all others, and no constraint on regions allows them. Default: none.
	Zones map[string]string `yaml:"zones"`
	// Roles are the parts it plays: control, router, relay, ingress. Required.
	Roles []Role `yaml:"roles"`
	// DataDir is the data folder. Required for control.
	DataDir string `yaml:"dataDir"`
	// Admin is the address of /metrics, /healthz and /readyz. Required.
	Admin string `yaml:"admin"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `yaml:"logLevel"`
	// AllowPlaintext permits addresses other than loopback without TLS.
	AllowPlaintext bool `yaml:"allowPlaintext"`

	TLS       TLSSettings       `yaml:"tls"`
	Formation FormationSettings `yaml:"formation"`
	Control   ControlSettings   `yaml:"control"`
	Router    RouterSettings    `yaml:"router"`
	Relay     RelaySettings     `yaml:"relay"`
	Ingress   IngressSettings   `yaml:"ingress"`
	Machines  MachineSettings   `yaml:"machines"`
	Platform  PlatformSettings  `yaml:"platform"`
	Policy    PolicySettings    `yaml:"policy"`
	Quota     QuotaSettings     `yaml:"quota"`
	Warming   WarmingSettings   `yaml:"warming"`
}

// Location returns where the node stands.
func (s *Settings) Location() places.Location {
	return places.Location{Zone: s.Zone, Zones: places.NewZoneMap(s.Zones)}
}

// WarmingSettings bound by how much all routers together may exceed what a pool declares that a
// machine bears while it warms up. Control and ingress nodes need the same.
type WarmingSettings struct {
	// Factor is what the declared rate is multiplied with; at least 1. Default 1.
	Factor float64 `yaml:"factor"`
	// Slack is how many requests a machine may get in a second beside that. Default 0.
	Slack float64 `yaml:"slack"`
}

// Bound returns what the settings allow.
func (s WarmingSettings) Bound() warming.Bound {
	return warming.Bound{Factor: s.Factor, Slack: s.Slack}
}

// FormationSettings let control nodes find each other, where control.members
// does not list them.
type FormationSettings struct {
	// Seeds are the addresses of some control nodes; a port is passed over.
	// They need not be up, and need not be all. Set, they replace
	// control.members.
	Seeds []string `yaml:"seeds"`
	// PeerPort is where every control node listens for other processes.
	PeerPort int `yaml:"peerPort"`
	// First is true when the whole system starts for the first time: the seeds
	// are the first voters. It has no effect on a node with a used data folder.
	First bool `yaml:"first"`
	// Tolerate is how many control nodes may be lost at once. Default 1.
	Tolerate int `yaml:"tolerate"`
	// TolerateZones is how many zones may be lost at once instead. Default 0.
	TolerateZones int `yaml:"tolerateZones"`
	// TolerateRegions is how many regions may be lost at once instead. Default 0.
	TolerateRegions int `yaml:"tolerateRegions"`
}

// IngressSettings are for the ingress role.
type IngressSettings struct {
	// Listen is the callers' address.
	Listen string `yaml:"listen"`
	// Ready is the address that answers whether callers should come.
	Ready string `yaml:"ready"`
	// MaxWaiting bounds the requests that wait for a machine. Default 2048.
	MaxWaiting int `yaml:"maxWaiting"`
	// ReportInterval is how often demand and loads are reported. Default 500ms.
	ReportInterval time.Duration `yaml:"reportInterval"`
	// LeaveDelay is for how long a stopping node goes on to take requests
	// after it has said that it is not ready. Default 2500ms.
	LeaveDelay time.Duration `yaml:"leaveDelay"`
	// StopTimeout bounds a planned stop. Default 8s.
	StopTimeout time.Duration `yaml:"stopTimeout"`
	// RetryRatio, with RetrySlack, bounds the requests that all nodes together
	// send again in any window: the ratio times the requests, and the slack.
	// Default 0.2.
	RetryRatio float64 `yaml:"retryRatio"`
	// RetrySlack is how many may be sent again beside the ratio. Default 10.
	RetrySlack int `yaml:"retrySlack"`
	// RetryWindow is the length of a window. Default 10s.
	RetryWindow time.Duration `yaml:"retryWindow"`
}

// MachineSettings are about machines that register by themselves.
type MachineSettings struct {
	// HeartbeatInterval is how often a machine reports. Default 1s.
	HeartbeatInterval time.Duration `yaml:"heartbeatInterval"`
	// OrderLease is for how long after a change of leader no orders are given
	// to machines. Default 3s.
	OrderLease time.Duration `yaml:"orderLease"`
}

// TLSSettings secure connections. Changed files are read again while the node
// runs.
type TLSSettings struct {
	// Certificate is the PEM file of the node's certificate, which carries
	// the node's name. Set, it makes connections between processes mutual TLS.
	Certificate string `yaml:"certificate"`
	// Key is the PEM file of its private key.
	Key string `yaml:"key"`
	// Authority is the PEM file of the authority that signs the certificates
	// of all processes of the cluster, and of no others.
	Authority string `yaml:"authority"`
	// Public serves callers, operators and metrics by TLS, too. Default false.
	Public bool `yaml:"public"`
}

// Files returns the names of the files.
func (t TLSSettings) Files() keys.Files {
	return keys.Files{Certificate: t.Certificate, Key: t.Key, Authority: t.Authority}
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
	// Advertise is where other processes reach the node, if that is not Listen: before an
	// address translation, or a proxy. Default: Listen.
	Advertise string `yaml:"advertise"`
	// API is the address of the resource API.
	API string `yaml:"api"`
	// Members are the control nodes, this one included.
	Members []Member `yaml:"members"`
	// ElectionTimeout is how long followers wait for a leader. Default 1s.
	ElectionTimeout time.Duration `yaml:"electionTimeout"`
	// ElectionSpread is by how much more, at random, they wait. Default the
	// election timeout.
	ElectionSpread time.Duration `yaml:"electionSpread"`
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

// QuotaSettings bound by how much tenants may exceed their limits, and say how nodes share
// them. Control and ingress nodes need the same.
type QuotaSettings struct {
	// Window is the length of the windows in which the bound holds. Default 8s.
	Window time.Duration `yaml:"window"`
	// Overage is the share of what a limit allows in a window by which it may be
	// exceeded. Default 0.1.
	Overage float64 `yaml:"overage"`
	// Slack is what may be let through beside that, in units of the tenants' rates.
	// Default 0.
	Slack float64 `yaml:"slack"`
	// Sharing is how nodes share a tenant's limit: adaptive, leased or equal; the last two
	// are for comparison. Default adaptive.
	Sharing string `yaml:"sharing"`
}

// Bound returns the bound for all tenants.
func (s QuotaSettings) Bound() quota.Bound {
	return quota.Bound{Window: s.Window, Overage: s.Overage, Slack: s.Slack}
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
	setDefault(&s.Control.ElectionSpread, s.Control.ElectionTimeout)
	setDefault(&s.Control.HeartbeatInterval, 100*time.Millisecond)
	setDefault(&s.Control.LeaseMargin, 100*time.Millisecond)
	setDefault(&s.Control.Advertise, s.Control.Listen)
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
	setDefault(&s.Formation.Tolerate, 1)
	setDefault(&s.Ingress.MaxWaiting, 2048)
	setDefault(&s.Ingress.ReportInterval, 500*time.Millisecond)
	setDefault(&s.Ingress.LeaveDelay, 2500*time.Millisecond)
	setDefault(&s.Ingress.StopTimeout, 8*time.Second)
	setDefault(&s.Ingress.RetryRatio, 0.2)
	setDefault(&s.Ingress.RetrySlack, 10)
	setDefault(&s.Ingress.RetryWindow, 10*time.Second)
	setDefault(&s.Machines.HeartbeatInterval, time.Second)
	setDefault(&s.Machines.OrderLease, 3*time.Second)
	setDefault(&s.Quota.Window, 8*time.Second)
	setDefault(&s.Quota.Overage, 0.1)
	setDefault(&s.Quota.Sharing, string(quota.SharingAdaptive))
	setDefault(&s.Warming.Factor, 1)
	setDefault(&s.Policy.Name, "adaptive")
	setDefault(&s.Policy.MachineTimeout, 3*time.Second)
}

// UsesSeeds reports whether control nodes find each other by seeds.
func (f FormationSettings) UsesSeeds() bool {
	return len(f.Seeds) > 0
}

// Addresses returns where the seeds listen for other processes.
func (f FormationSettings) Addresses() []string {
	addresses := make([]string, 0, len(f.Seeds))
	for _, seed := range f.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			host = seed
		}
		addresses = append(addresses, net.JoinHostPort(host, strconv.Itoa(f.PeerPort)))
	}
	return addresses
}

// VoterCount returns how many voters survive the losses to be borne.
func (f FormationSettings) VoterCount() int {
	return 2*f.Tolerate + 1
}

// HasRole reports whether the node plays a role.
func (s *Settings) HasRole(role Role) bool {
	return slices.Contains(s.Roles, role)
}
