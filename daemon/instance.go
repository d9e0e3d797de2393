package daemon

import (
	"context"
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"rhubarbpoint/admit"
	"rhubarbpoint/authority"
	"rhubarbpoint/claim"
	"rhubarbpoint/config"
	"rhubarbpoint/config/manager"
	"rhubarbpoint/engine"
	"rhubarbpoint/engine/httpengine"
	"rhubarbpoint/entry"
	"rhubarbpoint/member"
	"rhubarbpoint/memory"
	"rhubarbpoint/peer"
	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/platform"
	"rhubarbpoint/retry"
	"rhubarbpoint/role/controller"
	"rhubarbpoint/route"
	"rhubarbpoint/settings"
	"rhubarbpoint/suspect"
	"rhubarbpoint/topo"
	"rhubarbpoint/topo/httplist"
)

// weightLoadsPerSecond limits the rate of orders that make engines load weights, because the platform's weight store
// limits it.
const weightLoadsPerSecond = 0.2

// instance is an entry instance that takes its routes from the configuration document, with all its parts.
type instance struct {
	settings  *settings.Settings
	logger    *slog.Logger
	metrics   metrics.Registry
	listeners *listeners

	store     topo.Store
	directory topo.Directory
	manager   *manager.Manager
	transport *peer.Transport
	member    *member.Service
	processes *processes
	engines   *httpengine.Client
	table     *route.EngineTable
	upstreams *upstreams
	capacity  *capacityUpdater
	suspects  *suspect.Table
	claimer   *claim.Claimer // nil without a platform
	gate      *authority.Gate
	holder    *authority.LeaseHolder
	// controller is nil without a platform, like gate and holder.
	controller *controller.Controller
	server     *entry.Server
	httpServer *entry.HTTPServer
	operator   *operatorServer
	// metricsServer is nil if metrics have no listener of their own.
	metricsServer *operatorServer
	trace         *entry.TraceFile

	*serverGroup
	stopAuthority  context.CancelFunc
	stopParts      context.CancelFunc
	authorityLoops sync.WaitGroup
}

func newInstance(ctx context.Context, s *settings.Settings, logger *slog.Logger) (*instance, error) {
	i := &instance{serverGroup: newServerGroup(), settings: s, logger: logger, metrics: metrics.NewRegistry(), engines: httpengine.New()}
	var err error
	if i.listeners, err = openListeners(ctx, s); err != nil {
		return nil, err
	}
	i.addPlatform()
	i.addMembership()
	if err := i.addConfiguration(); err != nil {
		return nil, err
	}
	i.addClaims()
	i.addAuthority()
	if err := i.addEntry(); err != nil {
		return nil, err
	}
	i.addOperator()
	return i, nil
}

func (i *instance) addPlatform() {
	if i.settings.Platform == "" {
		return
	}
	i.store = platform.New(i.settings.Platform, i.metrics)
	i.directory = httplist.New(i.settings.Platform)
}

// addMembership creates the parts that depend on each other: the configuration manager uses the membership to decide
// whether this instance watches the store and to fetch documents from peers, and the membership sends the manager's
// document to peers.
func (i *instance) addMembership() {
	id := member.NewID(i.settings.Instance)
	i.table = route.NewEngineTable(route.Options{Region: i.settings.Region, Zone: i.settings.Zone, Seed: engine.EpochHash(id)})
	i.upstreams = newUpstreams(i.table)
	i.transport = peer.New(peer.Options{
		Self: id, Logger: i.logger, Metrics: i.metrics,
		Address: func(instance string) (string, bool) { return i.member.Address(instance) },
	})
	i.manager = manager.New(manager.Options{Store: i.store, ShouldWatch: i.watches, FetchFromPeer: i.fetchFromPeers, Logger: i.logger})
	i.suspects = suspect.New(suspect.Options{Self: id, Logger: i.logger, Publish: func(s *peerpb.Suspicion) {
		go i.member.PublishSuspicion(s)
	}})
	i.member = member.New(member.Options{
		ID: id, Region: i.settings.Region, Zone: i.settings.Zone,
		PeerAddress: i.settings.PeerListen, OperatorAddress: i.settings.OperatorListen,
		Seeds: i.settings.Peers, Directory: i.directory, Transport: i.transport, Engines: i.engines,
		Sink: i.upstreams, Document: i.manager.Current, EncodedDocument: i.manager.Encoded,
		ApplyDocument: func(_ context.Context, version int64, document []byte) error {
			return i.manager.ApplyEncoded(version, document)
		},
		MergeSuspicion: i.mergeSuspicion, SetPlanned: i.table.SetPlanned,
		Logger: i.logger, Metrics: i.metrics,
	})
	i.member.Register(i.transport)
	i.processes = &processes{directory: i.directory, view: i.member}
	i.capacity = &capacityUpdater{table: i.table, view: i.member, region: i.settings.Region, admitter: admit.NewFairAdmitter()}
}

func (i *instance) addConfiguration() error {
	i.manager.OnChange(func(doc *config.Document) {
		i.upstreams.SetDocument(doc)
		go i.member.ConfigChanged()
	})
	if i.settings.ConfigFile == "" {
		return nil
	}
	data, err := os.ReadFile(i.settings.ConfigFile)
	if err != nil {
		return errors.Wrap(err, "daemon: configuration file")
	}
	return errors.Wrap(i.manager.Load(data), "daemon: configuration file")
}

func (i *instance) addClaims() {
	if i.store == nil {
		return
	}
	i.claimer = claim.New(claim.Options{
		Store: i.store, View: i.member, Peers: i.transport, Logger: i.logger, Metrics: i.metrics,
	})
	i.transport.Handle(peer.KindClaim, i.claimer.HandleClaim)
	i.transport.Handle(peer.KindAwaitOutcome, i.claimer.HandleAwaitOutcome)
}

func (i *instance) addAuthority() {
	if i.store == nil {
		return
	}
	opts := authority.Options{
		Region: i.settings.Region, Store: i.store, Processes: i.processes, View: i.member, Peers: i.transport,
		Engines: i.engines, EngineConfigs: i.configuredEngines, LoadLimiter: rate.NewLimiter(weightLoadsPerSecond, 1),
		Logger: i.logger, Metrics: i.metrics,
	}
	i.gate = authority.NewGate(opts)
	i.holder = authority.NewLeaseHolder(opts, i.gate)
	i.transport.Handle(peer.KindRegisterFence, i.gate.HandleRegisterFence)
	i.transport.Handle(peer.KindForwardOrder, i.gate.HandleForwardOrder)
	i.controller = newController(i)
}

func (i *instance) addEntry() error {
	opts := entry.Options{
		Engines: i.engines, Document: i.manager.Current, Region: i.settings.Region,
		Router: i.table, Admitter: i.capacity.admitter,
		Suspects: i.suspects, Health: retry.NewHealth(), Budget: retry.NewBudget(),
		OnLeaving: i.member.MarkUpstreamLeaving, Leaving: i.upstreams.leaving,
		Memory: memory.NewAccount(memory.NewBounds(i.settings.MemoryMB)), Metrics: i.metrics, Logger: i.logger,
	}
	if i.claimer != nil {
		opts.Orders = i.claimer
	}
	if i.settings.TraceFile != "" {
		file, err := os.Create(i.settings.TraceFile)
		if err != nil {
			return errors.Wrap(err, "daemon: trace file")
		}
		i.trace = entry.NewTraceFile(file, i.logger)
		opts.Recorder = i.trace
	}
	i.server = entry.NewServer(opts)
	i.httpServer = entry.NewHTTPServer(i.server)
	return nil
}

func (i *instance) configuredEngines() []config.Engine {
	if doc := i.manager.Current(); doc != nil {
		return doc.Models.Engines
	}
	return nil
}

func (i *instance) mergeSuspicion(s *peerpb.Suspicion) { i.suspects.Merge(time.Now(), s) }
