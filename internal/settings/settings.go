// Package settings reads and validates the YAML settings file of a weldline node.
//
// Unknown keys, invalid units, values out of range and duplicate addresses are errors that name the
// key and, if the parser knows it, the line. The comments of the types are the text of Reference.
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

// Role is a function of a node; a node may have several.
type Role string

const (
	// RoleControl is a member of the replicated log.
	RoleControl Role = "control"
	// RoleRouter is a gateway for callers and the agent of nearby machines.
	RoleRouter Role = "router"
	// RoleRelay forwards the control plane's stream to the nodes of a zone.
	RoleRelay Role = "relay"
	// RoleIngress forwards callers' requests to registered machines by the declared routes.
	RoleIngress Role = "ingress"
)

// Settings are the content of a node's settings file. Load and Parse return them complete; settings that
// are built in code need a call of Complete before use.
type Settings struct {
	// Cluster is the cluster's name; processes of different clusters reject each
	// other. Required.
	Cluster string `yaml:"cluster"`
	// Node is the node's name, unique in the cluster. Required.
	Node string `yaml:"node"`
	// Zone is the node's zone. Required.
	Zone string `yaml:"zone"`
	// Zones maps each zone to its region. A zone without a region counts as distant from all
	// others, and no constraint on regions allows it. Default: none.
	Zones map[string]string `yaml:"zones"`
	// Roles lists the node's roles: control, router, relay, ingress. Required.
	Roles []Role `yaml:"roles"`
	// DataDir is the data directory. Required for control.
	DataDir string `yaml:"dataDir"`
	// Admin is the address that serves /metrics, /healthz and /readyz. Required.
	Admin string `yaml:"admin"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `yaml:"logLevel"`
	// AllowPlaintext permits non-loopback addresses without TLS.
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

// Location returns the node's zone and the map of zones to regions.
func (s *Settings) Location() places.Location {
	return places.Location{Zone: s.Zone, Zones: places.NewZoneMap(s.Zones)}
}

// WarmingSettings bound by how much all routers together may exceed the request rate that a pool
// declares for machines that warm up. They must be equal on control and ingress nodes.
type WarmingSettings struct {
	// Factor multiplies the declared rate; at least 1. Default 1.
	Factor float64 `yaml:"factor"`
	// Slack is the number of requests per second that a machine may receive in addition. Default 0.
	Slack float64 `yaml:"slack"`
}

// Bound returns the bound on by how much routers may exceed the rate declared for a warming machine.
func (s WarmingSettings) Bound() warming.Bound {
	return warming.Bound{Factor: s.Factor, Slack: s.Slack}
}

// FormationSettings let control nodes discover each other through seeds, as an alternative to
// control.members.
type FormationSettings struct {
	// Seeds are the addresses of some control nodes; a port is ignored. Seeds may be
	// unreachable. If set, they replace control.members.
	Seeds []string `yaml:"seeds"`
	// PeerPort is the port on which every control node listens for other processes.
	PeerPort int `yaml:"peerPort"`
	// First is true when the cluster starts for the first time: the seeds become the first
	// voters. It has no effect on a node with an initialized data directory.
	First bool `yaml:"first"`
	// Tolerate is the number of control nodes that may fail at once. Default 1.
	Tolerate int `yaml:"tolerate"`
	// TolerateZones is the number of zones that may fail at once, instead of nodes. Default 0.
	TolerateZones int `yaml:"tolerateZones"`
	// TolerateRegions is the number of regions that may fail at once, instead of nodes. Default 0.
	TolerateRegions int `yaml:"tolerateRegions"`
}

// IngressSettings configure the ingress role, which requires Listen and FormationSettings.Seeds.
type IngressSettings struct {
	// Listen is the address for callers.
	Listen string `yaml:"listen"`
	// Ready is the address of the readiness check for load balancers.
	Ready string `yaml:"ready"`
	// Forward is the address on which the node accepts messages from other ingress nodes: requests for which they have
	// no path to a machine, where streams began, and which machines respond. It must be reachable for ingress nodes,
	// but not for callers. Default: none; the node accepts no messages.
	Forward string `yaml:"forward"`
	// Source is the local IP address of connections to machines. Default: chosen by the system.
	Source string `yaml:"source"`
	// LinkMbps is the rate of the node's network link in Mbit/s in each direction. With it, an overload of the link is noticed
	// before connections take long. Default: unknown.
	LinkMbps float64 `yaml:"linkMbps"`
	// MemoryMB is the memory that the node may use, in MB. Three eighths of it may hold the bodies of requests, and
	// requests beyond are refused. Default 256.
	MemoryMB float64 `yaml:"memoryMB"`
	// MaxWaiting bounds the requests that wait for a machine. Default 2048.
	MaxWaiting int `yaml:"maxWaiting"`
	// ReportInterval is the interval between reports of demand and load. Default 500ms.
	ReportInterval time.Duration `yaml:"reportInterval"`
	// LeaveDelay is how long a stopping node still accepts requests after its readiness check
	// fails. Default 2500ms.
	LeaveDelay time.Duration `yaml:"leaveDelay"`
	// StopTimeout bounds a graceful shutdown. After LeaveDelay, requests are refused that may not be answered by then. Default 8s.
	StopTimeout time.Duration `yaml:"stopTimeout"`
	// RetryRatio and RetrySlack bound the retries that all nodes together send in any window:
	// the ratio times the number of requests, plus the slack. Default 0.2.
	RetryRatio float64 `yaml:"retryRatio"`
	// RetrySlack is the number of retries per window in addition to the ratio. Default 10.
	RetrySlack int `yaml:"retrySlack"`
	// RetryWindow is the length of the window for retries. Default 10s.
	RetryWindow time.Duration `yaml:"retryWindow"`
}

// MachineSettings configure machines that register themselves.
type MachineSettings struct {
	// HeartbeatInterval is the interval between a machine's reports. Default 1s.
	HeartbeatInterval time.Duration `yaml:"heartbeatInterval"`
	// OrderLease is how long after a change of leader no orders are sent to machines. Default 3s.
	OrderLease time.Duration `yaml:"orderLease"`
}

// TLSSettings enable TLS. Changed files are reloaded while the node runs.
type TLSSettings struct {
	// Certificate is the PEM file of the node's certificate, which must contain the node's
	// name. If set, connections between processes use mutual TLS.
	Certificate string `yaml:"certificate"`
	// Key is the PEM file of its private key.
	Key string `yaml:"key"`
	// Authority is the PEM file of the certificate authority, which must sign certificates for
	// processes of this cluster only.
	Authority string `yaml:"authority"`
	// Public also enables TLS for callers, operators and metrics. Default false.
	Public bool `yaml:"public"`
}

// Files returns the paths of the PEM files, for keys.Load. They are empty if TLS is off.
func (t TLSSettings) Files() keys.Files {
	return keys.Files{Certificate: t.Certificate, Key: t.Key, Authority: t.Authority}
}

// Member is a control node in control.members.
type Member struct {
	// ID is the node's id in the replicated log, at least 1. It must not be reused.
	ID uint64 `yaml:"id"`
	// Address is the IP address and port for other processes.
	Address string `yaml:"address"`
	// Learner makes the node a standby that replaces a failed voter.
	Learner bool `yaml:"learner"`
}

// ControlSettings configure the control role, which requires API and either Members or
// FormationSettings.Seeds.
type ControlSettings struct {
	// ID is this node's id among the members.
	ID uint64 `yaml:"id"`
	// Listen is the address for other processes.
	Listen string `yaml:"listen"`
	// Advertise is the address at which other processes reach the node, if it differs from Listen
	// because of NAT or a proxy. Default: Listen.
	Advertise string `yaml:"advertise"`
	// API is the address of the resource API.
	API string `yaml:"api"`
	// Members lists all control nodes, including this one.
	Members []Member `yaml:"members"`
	// ElectionTimeout is how long followers wait for a heartbeat before an election. Default 1s.
	ElectionTimeout time.Duration `yaml:"electionTimeout"`
	// ElectionSpread is the maximum random addition to the election timeout. Default: the
	// election timeout.
	ElectionSpread time.Duration `yaml:"electionSpread"`
	// HeartbeatInterval is the interval between the leader's heartbeats. Default 100ms.
	HeartbeatInterval time.Duration `yaml:"heartbeatInterval"`
	// LeaseMargin shortens the leader's lease to allow for clock drift. Default 100ms.
	LeaseMargin time.Duration `yaml:"leaseMargin"`
	// CompactEvery is the number of log entries between snapshots. Default 4096.
	CompactEvery uint64 `yaml:"compactEvery"`
	// ReplaceAfter is how long a voter may be unreachable before a learner replaces it.
	// Default 30s.
	ReplaceAfter time.Duration `yaml:"replaceAfter"`
	// ReadToken and WriteToken are the bearer tokens of the API: WriteToken permits all requests,
	// ReadToken only reads. Without WriteToken, the API requires no token, even if ReadToken is set.
	ReadToken  string `yaml:"readToken"`
	WriteToken string `yaml:"writeToken"`
}

// RouterSettings configure the router role, which requires Listen and at least one of Upstreams.
type RouterSettings struct {
	// Listen is the address for callers.
	Listen string `yaml:"listen"`
	// Upstreams are the addresses of the control nodes or relays to follow, in order of
	// preference.
	Upstreams []string `yaml:"upstreams"`
	// MaxWaiting bounds the requests that wait for a replica. Default 4096.
	MaxWaiting int `yaml:"maxWaiting"`
	// MaxBodyBytes bounds a request body. Default 4 MiB.
	MaxBodyBytes int64 `yaml:"maxBodyBytes"`
	// MemoryMB is the memory that the node may use, in MB. Three eighths of it may hold the bodies of responses, and responses
	// beyond fail. Default 1024.
	MemoryMB float64 `yaml:"memoryMB"`
	// ReportInterval is the interval between reports of demand. Default 250ms.
	ReportInterval time.Duration `yaml:"reportInterval"`
	// PollInterval is the interval at which the agent polls an engine. Default 250ms.
	PollInterval time.Duration `yaml:"pollInterval"`
	// DrainTimeout bounds a graceful shutdown. Default 60s.
	DrainTimeout time.Duration `yaml:"drainTimeout"`
}

// RelaySettings configure the relay role, which requires Listen and at least one of Upstreams.
type RelaySettings struct {
	// Listen is the address for the nodes of the zone.
	Listen string `yaml:"listen"`
	// Upstreams are the addresses of the control nodes to follow.
	Upstreams []string `yaml:"upstreams"`
}

// PlatformSettings describe the platform that runs the machines.
type PlatformSettings struct {
	// MachineList is the URL of the platform's machine list; may be empty.
	MachineList string `yaml:"machineList"`
	// MachineListInterval is the interval at which the machine list is read. Default 1s.
	MachineListInterval time.Duration `yaml:"machineListInterval"`
	// StoreLoadsPerSecond is the rate of loads that the weight store admits. Default 3.
	StoreLoadsPerSecond float64 `yaml:"storeLoadsPerSecond"`
	// StoreConcurrentLoads is the number of concurrent loads that the weight store serves at full
	// speed. Default 6.
	StoreConcurrentLoads int `yaml:"storeConcurrentLoads"`
}

// PolicySettings configure placement.
type PolicySettings struct {
	// Name is the keep-alive policy. Default "adaptive".
	Name string `yaml:"name"`
	// MachineTimeout is how long a machine may be unreachable before its replicas are moved.
	// Default 3s.
	MachineTimeout time.Duration `yaml:"machineTimeout"`
}

// QuotaSettings bound by how much tenants may exceed their limits, and select how nodes share
// the limits. They must be equal on control and ingress nodes.
type QuotaSettings struct {
	// Window is the length of the windows in which the bound holds. Default 8s.
	Window time.Duration `yaml:"window"`
	// Overage is the fraction of a window's limit by which the limit may be exceeded.
	// Default 0.1.
	Overage float64 `yaml:"overage"`
	// Slack is the amount admitted per window in addition, in the unit of the tenant's rate.
	// Default 0.
	Slack float64 `yaml:"slack"`
	// Sharing selects how nodes share a tenant's limit: adaptive, leased or equal; leased and
	// equal are for comparison. Default adaptive.
	Sharing string `yaml:"sharing"`
}

// Bound returns the bound on how much tenants may exceed their limits. It does not depend on Sharing.
func (s QuotaSettings) Bound() quota.Bound {
	return quota.Bound{Window: s.Window, Overage: s.Overage, Slack: s.Slack}
}

// Load reads a settings file, fills in defaults and validates the result.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.InvalidField("config", "can't read the settings file: %s", err.Error())
	}
	return Parse(content)
}

// Parse decodes settings, fills in defaults and validates the result.
func Parse(content []byte) (*Settings, error) {
	settings := &Settings{}
	decoder := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict())
	if err := decoder.Decode(settings); err != nil {
		return nil, fault.InvalidField("settings", "%s", yaml.FormatError(err, false, false))
	}
	return settings, settings.Complete()
}

// Complete fills in defaults and validates the settings.
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
	setDefault(&s.Router.MemoryMB, 1024)
	setDefault(&s.Router.ReportInterval, 250*time.Millisecond)
	setDefault(&s.Router.PollInterval, 250*time.Millisecond)
	setDefault(&s.Router.DrainTimeout, time.Minute)
	setDefault(&s.Platform.MachineListInterval, time.Second)
	setDefault(&s.Platform.StoreLoadsPerSecond, 3)
	setDefault(&s.Platform.StoreConcurrentLoads, 6)
	setDefault(&s.Formation.Tolerate, 1)
	setDefault(&s.Ingress.MaxWaiting, 2048)
	setDefault(&s.Ingress.MemoryMB, 256)
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

// UsesSeeds reports whether control nodes discover each other through seeds.
func (f FormationSettings) UsesSeeds() bool {
	return len(f.Seeds) > 0
}

// Addresses returns the addresses at which the seeds listen for other processes.
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

// VoterCount returns the number of voters that tolerate the configured number of failed nodes.
func (f FormationSettings) VoterCount() int {
	return 2*f.Tolerate + 1
}

// HasRole reports whether Roles lists a role. It does not check that the role is a defined one.
func (s *Settings) HasRole(role Role) bool {
	return slices.Contains(s.Roles, role)
}
