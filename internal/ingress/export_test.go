package ingress

import (
	"net"
	"time"

	"github.com/weldline/weldline/internal/streamorigin"
)

// CrashesSettled reports whether all observed crashes have been recorded.
func (i *Ingress) CrashesSettled() bool {
	return i.crashes.IsIdle()
}

// WarmingMachines returns the machines that count as warming up.
func (i *Ingress) WarmingMachines() map[string]bool {
	return i.permits.warming.machines()
}

// KnowsSoftware reports whether a digest has described the software of the pools.
func (i *Ingress) KnowsSoftware() bool { return i.origins.software.Load().isKnown }

// OriginOf returns the recorded version at which a stream began, or an empty string.
func (i *Ingress) OriginOf(attempt string) string {
	i.origins.mutex.Lock()
	defer i.origins.mutex.Unlock()
	record, _ := i.origins.store.Lookup(time.Now(), streamorigin.KeyOf("", attempt))
	return record.Origin.Software
}

// KnowsRouters reports whether the ingress knows a number of other routers.
func (i *Ingress) KnowsRouters(count int) bool {
	i.forwarder.mutex.Lock()
	defer i.forwarder.mutex.Unlock()
	return len(i.forwarder.selector.Nodes()) == count
}

// ConfigurationInUse returns the version of the configuration in use.
func (i *Ingress) ConfigurationInUse() uint64 { return i.configuration.Load() }

// IsIsolated reports whether no path to a machine seems to work.
func (i *Ingress) IsIsolated() bool { return i.paths.isIsolated() }

// HeldBodyBytes returns the memory that is reserved for bodies.
func (i *Ingress) HeldBodyBytes() int64 { return i.bodies.Held() }

// Assign has a server serve a connection that it has accepted.
func (s *Server) Assign(connection net.Conn) { s.assign(connection) }
