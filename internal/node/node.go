package node

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/weldline/weldline/internal/clock"
	"github.com/weldline/weldline/internal/control"
	"github.com/weldline/weldline/internal/datadir"
	"github.com/weldline/weldline/internal/earlyresponse"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/ingress"
	"github.com/weldline/weldline/internal/keys"
	"github.com/weldline/weldline/internal/level"
	"github.com/weldline/weldline/internal/link"
	"github.com/weldline/weldline/internal/membership"
	"github.com/weldline/weldline/internal/resourceapi"
	"github.com/weldline/weldline/internal/settings"
	"github.com/weldline/weldline/internal/storage"
	"github.com/weldline/weldline/internal/tcpopt"
	"github.com/weldline/weldline/internal/upstream"
	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	headerTimeout   = 10 * time.Second
	shutdownTimeout = 5 * time.Second
)

// Node is a weldline process with its roles.
type Node struct {
	settings *settings.Settings
	logger   *slog.Logger
	registry *prometheus.Registry
	counters *wire.Counters
	// keys is nil if connections are not encrypted.
	keys *keys.Store
	// incarnation increases with each start of the node.
	incarnation uint64
	dataDir     *datadir.Dir
	disk        *storage.Disk
	control     *control.Node
	router      *router
	relay       *relay
	ingress     *ingressRole
	extensions  Extensions

	// servers are the HTTP servers besides that of the ingress role's callers.
	servers []*httpServer

	// seeds are the formation settings last read.
	seeds atomic.Pointer[settings.FormationSettings]

	workers sync.WaitGroup
	failed  chan error
	stopped atomic.Bool
}

// Extensions are the parts of a node that are specific to the protocols of its environment.
type Extensions struct {
	// ControlHandler, if set, replaces the API of the control role.
	ControlHandler func(plane *control.Node, logger *slog.Logger) http.Handler
	// Engines communicates with self-registering machines.
	Engines control.Engines
	// Translator translates the headers of the ingress role's callers and machines.
	Translator ingress.Translator
	// Dial, if set, replaces how the ingress role opens connections to machines.
	Dial upstream.DialFunc
}

// New prepares a node without listening yet.
func New(configuration *settings.Settings, logger *slog.Logger, extensions Extensions) (*Node, error) {
	created := &Node{
		extensions: extensions,
		settings:   configuration, logger: logger, registry: prometheus.NewRegistry(),
		counters: wire.NewCounters(configuration.Location()), incarnation: uint64(time.Now().UnixNano()), failed: make(chan error, 8),
	}
	created.seeds.Store(&configuration.Formation)
	created.registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		newTrafficCollector(created.counters),
	)
	if configuration.TLS.Certificate != "" {
		loaded, err := keys.Load(configuration.TLS.Files())
		if err != nil {
			return nil, err
		}
		created.keys = loaded
	}
	if configuration.HasRole(settings.RoleControl) {
		if err := created.openControl(); err != nil {
			return nil, err
		}
	}
	if configuration.HasRole(settings.RoleRouter) {
		created.router = newRouter(created)
	}
	if configuration.HasRole(settings.RoleRelay) {
		created.relay = newRelay(created)
	}
	if configuration.HasRole(settings.RoleIngress) {
		if extensions.Translator == nil {
			return nil, fault.InvalidField("roles", "this program does not support the ingress role")
		}
		created.ingress = newIngressRole(created)
	}
	return created, nil
}

// Register adds a collector to the node's metrics.
func (n *Node) Register(collector prometheus.Collector) {
	n.registry.MustRegister(collector)
}

// openDataDir opens the data directory. If the cluster is formed from seeds, it creates an identity in
// an empty one.
func (n *Node) openDataDir() (*datadir.Dir, datadir.Identity, error) {
	if !n.settings.Formation.UsesSeeds() {
		return datadir.Open(n.settings.DataDir, n.settings.Cluster, n.settings.Control.ID)
	}
	return datadir.OpenOrInit(n.settings.DataDir, n.settings.Cluster, func() datadir.Identity {
		identity := datadir.Identity{Cluster: n.settings.Cluster}
		own := n.settings.Control.Advertise
		if seeds := n.settings.Formation.Addresses(); n.settings.Formation.First && slices.Contains(seeds, own) {
			identity.ControlID, identity.FirstVoters = membership.SeedID(own), seeds
			return identity
		}
		identity.ControlID, identity.Join = max(1, rand.Uint64()), true
		return identity
	})
}

func (n *Node) openControl() error {
	dir, identity, err := n.openDataDir()
	if err != nil {
		return err
	}
	n.logger.Info("identity", "control_id", identity.ControlID, "join", identity.Join, "first", identity.FirstVoters)
	disk, recovered, err := storage.Open(dir)
	if err != nil {
		_ = dir.Close()
		return err
	}
	disk.OnWriteFailure = func(err error, attempt int) {
		if attempt == 1 {
			n.logger.Error("storage_failed", "error", fault.Message(err))
		}
	}
	n.dataDir, n.disk = dir, disk
	self := n.identity()
	self.Hello.ControlId = identity.ControlID
	if n.settings.Formation.UsesSeeds() {
		self.Hello.Address = n.settings.Control.Advertise
	}
	n.control, err = control.New(control.Options{
		Settings: n.settings, Logger: n.logger, Storage: disk, Recovered: recovered, Join: identity.Join,
		ID: identity.ControlID, FirstVoters: identity.FirstVoters, Engines: n.extensions.Engines,
		Seeds:   func() []string { return n.seeds.Load().Addresses() },
		Metrics: control.NewMetrics(n.registry), Self: self,
	})
	return err
}

func (n *Node) identity() wire.Config {
	return wire.Config{
		Hello: &wirepb.Hello{
			ProtocolVersion: wire.ProtocolVersion, Cluster: n.settings.Cluster,
			Node: n.settings.Node, Zone: n.settings.Zone, Level: uint32(level.Supported),
		},
		Keys: n.keys, Counters: n.counters,
	}
}

// Run starts the roles. It returns after all of them have stopped, because ctx ended or one of them
// failed.
func (n *Node) Run(ctx context.Context) error {
	roles, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := n.start(roles); err != nil {
		cancel()
		n.workers.Wait()
		return err
	}
	if n.control != nil {
		n.workers.Go(func() { logTraffic(roles, n.counters, n.logger) })
	}
	n.workers.Go(func() { clock.Watch(roles, n.logger, n.handleResume) })
	n.logger.Info("node_started", "roles", n.settings.Roles)
	var failure error
	select {
	case <-ctx.Done():
		n.drain()
	case failure = <-n.failed:
		n.logger.Error("role_failed", "error", fault.Message(failure))
		n.drainServers(time.Now().Add(shutdownTimeout))
	}
	n.stopped.Store(true)
	cancel()
	if n.disk != nil {
		n.disk.Stop()
	}
	n.workers.Wait()
	if n.dataDir != nil {
		_ = n.dataDir.Close()
	}
	n.logger.Info("node_stopped")
	return failure
}

// handleResume invalidates what the roles learned before the machine was suspended. The control role
// needs no notice, since its clock includes time in suspension.
func (n *Node) handleResume(time.Duration) {
	if n.ingress != nil {
		n.ingress.client.Resumed()
		n.ingress.ingress.Resumed()
	}
	if n.router != nil {
		n.router.client.Resumed()
	}
	if n.relay != nil {
		n.relay.client.Resumed()
	}
}

// drain lets all servers finish requests. The control role and the feed still run meanwhile, since requests wait for them.
func (n *Node) drain() {
	deadline := time.Now().Add(shutdownTimeout)
	if n.ingress != nil {
		deadline = time.Now().Add(n.settings.Ingress.StopTimeout - forcedStopTime/4)
		n.ingress.drain()
	}
	if n.router != nil {
		n.drainRouter()
		deadline = time.Now().Add(shutdownTimeout)
	}
	n.drainServers(deadline)
}

func (n *Node) drainRouter() {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Router.DrainTimeout)
	defer cancel()
	n.logger.Info("router_draining")
	if !n.router.drain(ctx) {
		n.logger.Warn("drain_timed_out")
	}
}

func (n *Node) start(ctx context.Context) error {
	if err := n.serveHTTP(ctx, n.settings.Admin, n.adminHandler()); err != nil {
		return err
	}
	if n.control != nil {
		if err := n.startControl(ctx); err != nil {
			return err
		}
	}
	if n.relay != nil {
		if err := n.relay.start(ctx); err != nil {
			return err
		}
	}
	if n.ingress != nil {
		if err := n.ingress.start(ctx); err != nil {
			return err
		}
	}
	if n.router != nil {
		return n.router.start(ctx)
	}
	return nil
}

func (n *Node) startControl(ctx context.Context) error {
	if err := n.serveFeed(ctx, n.listenAddress(), n.control.NewServer().Serve); err != nil {
		return err
	}
	var api http.Handler = resourceapi.New(n.control, n.logger, n.settings.Control.ReadToken, n.settings.Control.WriteToken)
	if n.extensions.ControlHandler != nil {
		api = n.extensions.ControlHandler(n.control, n.logger)
	}
	if err := n.serveHTTP(ctx, n.settings.Control.API, earlyresponse.Handler{Next: api, Logger: n.logger}); err != nil {
		return err
	}
	n.run(func() error { return n.control.Run(ctx) })
	return nil
}

// listenAddress returns the control role's configured listen address, or else its address in the list
// of members.
func (n *Node) listenAddress() string {
	if n.settings.Control.Listen != "" {
		return n.settings.Control.Listen
	}
	for _, member := range n.settings.Control.Members {
		if member.ID == n.settings.Control.ID {
			return member.Address
		}
	}
	return ""
}

// run starts a worker whose failure stops the node.
func (n *Node) run(work func() error) {
	n.workers.Go(func() {
		if err := work(); err != nil {
			select {
			case n.failed <- err:
			default:
			}
		}
	})
}

type feedServe func(ctx context.Context, listener net.Listener) error

func (n *Node) serveFeed(ctx context.Context, address string, serve feedServe) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Unavailable.Wrap(err, "listening on %s", address)
	}
	n.run(func() error { return serve(ctx, listener) })
	return nil
}

// servePeers serves HTTP for other processes of the cluster. Their traffic is counted by a meter.
func (n *Node) servePeers(ctx context.Context, address string, meter *link.Meter, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Unavailable.Wrap(err, "listening on %s", address)
	}
	wrap := func(accepting net.Listener) net.Listener {
		metered := link.Listener{Listener: tcpopt.Listener{Listener: accepting}, Meter: meter}
		if n.keys == nil {
			return metered
		}
		return tls.NewListener(metered, n.keys.PeerServer())
	}
	n.serve(ctx, newHTTPServer(address, listener, wrap, handler, n.logger))
	return nil
}

// dialMachines returns the function that opens connections to machines; nil for the default.
func (n *Node) dialMachines() upstream.DialFunc {
	if n.extensions.Dial != nil || n.settings.Ingress.Source == "" {
		return n.extensions.Dial
	}
	return tcpopt.DialerFrom(net.ParseIP(n.settings.Ingress.Source)).DialContext
}

// dialPeer opens a connection to another process of the cluster.
func (n *Node) dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := tcpopt.Dialer().DialContext(ctx, network, address)
	if err != nil || n.keys == nil {
		return connection, err
	}
	secured := tls.Client(connection, n.keys.PeerClient())
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = connection.Close()
		return nil, err
	}
	return secured, nil
}

func (n *Node) serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Unavailable.Wrap(err, "listening on %s", address)
	}
	wrap := func(accepting net.Listener) net.Listener {
		if n.keys == nil || !n.settings.TLS.Public {
			return accepting
		}
		return tls.NewListener(accepting, n.keys.PublicServer())
	}
	n.serve(ctx, newHTTPServer(address, listener, wrap, handler, n.logger))
	return nil
}

// serve runs an HTTP server until ctx ends.
func (n *Node) serve(ctx context.Context, started *httpServer) {
	n.servers = append(n.servers, started)
	n.workers.Go(func() {
		<-ctx.Done()
		started.close()
	})
	n.run(started.run)
}

// drainServers lets the servers finish requests until a deadline.
func (n *Node) drainServers(deadline time.Time) {
	for _, each := range n.servers {
		each.stopAccepting()
	}
	waitWhile(deadline, func() bool { return slices.ContainsFunc(n.servers, (*httpServer).isBusy) })
	for _, each := range n.servers {
		if each.isBusy() {
			n.logger.Warn("drain_timed_out", "address", each.address)
		}
	}
}
