package settings

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/quota"
)

func (s *Settings) validate() error {
	checks := []func() error{
		s.validateIdentity, s.validateRoles, s.validateTLS, s.validateFormation, s.validateControl, s.validateRouter,
		s.validateRelay, s.validateIngress, s.validateQuota, s.validateWarming, s.validateRanges, s.validateAddresses,
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
		if !slices.Contains([]Role{RoleControl, RoleRouter, RoleRelay, RoleIngress}, role) {
			return fault.InvalidField("roles", "%q is not control, router, relay or ingress", string(role))
		}
	}
	return nil
}

func (s *Settings) validateTLS() error {
	if s.TLS.Certificate == "" {
		if s.TLS.Public || s.TLS.Key != "" || s.TLS.Authority != "" {
			return fault.InvalidField("tls.certificate", "tls.certificate is required with the other settings of tls")
		}
		return nil
	}
	if err := require("tls.key", s.TLS.Key); err != nil {
		return err
	}
	return require("tls.authority", s.TLS.Authority)
}

func (s *Settings) validateControl() error {
	if !s.HasRole(RoleControl) {
		return nil
	}
	if err := require("dataDir", s.DataDir); err != nil {
		return err
	}
	if err := require("control.api", s.Control.API); err != nil {
		return err
	}
	if s.Formation.UsesSeeds() {
		return s.validateSeededControl()
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

// validateSeededControl validates a control node that discovers the others through seeds.
func (s *Settings) validateSeededControl() error {
	if len(s.Control.Members) > 0 {
		return fault.InvalidField("control.members", "must be empty where formation.seeds is set")
	}
	if err := require("control.listen", s.Control.Listen); err != nil {
		return err
	}
	return s.validateTimeouts()
}

func (s *Settings) validateFormation() error {
	if !s.Formation.UsesSeeds() {
		return nil
	}
	for position, seed := range s.Formation.Seeds {
		if err := require("formation.seeds["+strconv.Itoa(position)+"]", seed); err != nil {
			return err
		}
	}
	if s.Formation.PeerPort < 1 || s.Formation.PeerPort > 65535 {
		return fault.InvalidField("formation.peerPort", "%d is not a port", s.Formation.PeerPort)
	}
	for _, tolerated := range []struct {
		field string
		count int
	}{
		{"formation.tolerate", s.Formation.Tolerate},
		{"formation.tolerateZones", s.Formation.TolerateZones},
		{"formation.tolerateRegions", s.Formation.TolerateRegions},
	} {
		if tolerated.count < 0 {
			return fault.InvalidField(tolerated.field, "must not be negative")
		}
	}
	return nil
}

func (s *Settings) validateIngress() error {
	if !s.HasRole(RoleIngress) {
		return nil
	}
	if err := require("ingress.listen", s.Ingress.Listen); err != nil {
		return err
	}
	if !s.Formation.UsesSeeds() {
		return fault.InvalidField("formation.seeds", "is required for the ingress role")
	}
	if s.Ingress.Source != "" {
		if _, err := netip.ParseAddr(s.Ingress.Source); err != nil {
			return fault.InvalidField("ingress.source", "%q is not an IP address", s.Ingress.Source)
		}
	}
	if s.Ingress.LinkMbps < 0 {
		return fault.InvalidField("ingress.linkMbps", "must not be negative")
	}
	if s.Ingress.MemoryMB < 0 {
		return fault.InvalidField("ingress.memoryMB", "must not be negative")
	}
	if s.Ingress.RetryRatio < 0 || s.Ingress.RetrySlack < 0 {
		return fault.InvalidField("ingress.retryRatio", "the bounds on retries must not be negative")
	}
	return nil
}

func (s *Settings) validateQuota() error {
	sharing := quota.Sharing(s.Quota.Sharing)
	if !slices.Contains([]quota.Sharing{quota.SharingAdaptive, quota.SharingLeased, quota.SharingEqual}, sharing) {
		return fault.InvalidField("quota.sharing", "%q is not adaptive, leased or equal", s.Quota.Sharing)
	}
	if s.Quota.Overage < 0 {
		return fault.InvalidField("quota.overage", "must not be negative")
	}
	if s.Quota.Slack < 0 {
		return fault.InvalidField("quota.slack", "must not be negative")
	}
	return nil
}

func (s *Settings) validateWarming() error {
	if !(s.Warming.Factor >= 1) { // Also rejects NaN.
		return fault.InvalidField("warming.factor", "must be at least 1")
	}
	if !(s.Warming.Slack >= 0) { // Also rejects NaN.
		return fault.InvalidField("warming.slack", "must not be negative")
	}
	return nil
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
	if !s.HasRole(RoleRouter) {
		return nil
	}
	if err := require("router.listen", s.Router.Listen); err != nil {
		return err
	}
	if len(s.Router.Upstreams) == 0 {
		return fault.InvalidField("router.upstreams", "at least one upstream is required")
	}
	if s.Router.MemoryMB < 0 {
		return fault.InvalidField("router.memoryMB", "must not be negative")
	}
	return nil
}

func (s *Settings) validateRelay() error {
	if !s.HasRole(RoleRelay) {
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
		{"control.electionSpread", s.Control.ElectionSpread, 10 * time.Millisecond, time.Minute},
		{"control.heartbeatInterval", s.Control.HeartbeatInterval, 5 * time.Millisecond, 10 * time.Second},
		{"control.replaceAfter", s.Control.ReplaceAfter, time.Second, 24 * time.Hour},
		{"router.reportInterval", s.Router.ReportInterval, 10 * time.Millisecond, 10 * time.Second},
		{"quota.window", s.Quota.Window, 100 * time.Millisecond, time.Hour},
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

// validateAddresses checks that all addresses are IP addresses with ports, that the node's listen
// addresses are distinct, and that non-loopback addresses use TLS unless plain text is allowed.
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
		if !address.Addr().IsLoopback() && !s.AllowPlaintext && !s.isSecured(listen) {
			return fault.InvalidField(listen.field, "%s: %s is not loopback; set tls, or allowPlaintext to listen there without it", listen.field, listen.value)
		}
	}
	return s.validatePeers()
}

type namedAddress struct {
	field, value string
	// public is true for HTTP and false for the internal protocol.
	public bool
}

func (s *Settings) isSecured(listen namedAddress) bool {
	return s.TLS.Certificate != "" && (!listen.public || s.TLS.Public)
}

func (s *Settings) listenAddresses() []namedAddress {
	return []namedAddress{
		{"admin", s.Admin, true},
		{"control.listen", s.Control.Listen, false},
		{"control.api", s.Control.API, true},
		{"router.listen", s.Router.Listen, true},
		{"ingress.listen", s.Ingress.Listen, true},
		{"ingress.ready", s.Ingress.Ready, true},
		{"ingress.forward", s.Ingress.Forward, false},
		{"relay.listen", s.Relay.Listen, false},
	}
}

func (s *Settings) validatePeers() error {
	var peers []namedAddress
	for position, member := range s.Control.Members {
		peers = append(peers, namedAddress{field: "control.members[" + strconv.Itoa(position) + "].address", value: member.Address})
	}
	if s.Control.Advertise != "" {
		peers = append(peers, namedAddress{field: "control.advertise", value: s.Control.Advertise})
	}
	for position, upstream := range s.Router.Upstreams {
		peers = append(peers, namedAddress{field: "router.upstreams[" + strconv.Itoa(position) + "]", value: upstream})
	}
	for position, upstream := range s.Relay.Upstreams {
		peers = append(peers, namedAddress{field: "relay.upstreams[" + strconv.Itoa(position) + "]", value: upstream})
	}
	for _, peer := range peers {
		if _, err := netip.ParseAddrPort(peer.value); err != nil {
			return fault.InvalidField(peer.field, "%s: %q is not an IP address and a port", peer.field, peer.value)
		}
	}
	return nil
}
