package daemon

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/config"
	"rhubarbpoint/discovery"
	"rhubarbpoint/duty"
	"rhubarbpoint/engine"
	"rhubarbpoint/entry"
	"rhubarbpoint/explain"
	"rhubarbpoint/forward"
	"rhubarbpoint/internal/boottime"
	"rhubarbpoint/internal/sleep"
	"rhubarbpoint/member"
	"rhubarbpoint/memory"
	"rhubarbpoint/operator"
	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/place"
	"rhubarbpoint/platform"
	"rhubarbpoint/reach"
	"rhubarbpoint/relay"
	"rhubarbpoint/resume"
	"rhubarbpoint/retry"
	"rhubarbpoint/scale"
	"rhubarbpoint/settings"
	"rhubarbpoint/stages"
	"rhubarbpoint/suspect"
	"rhubarbpoint/topo"
	"rhubarbpoint/upstream"
	"rhubarbpoint/usage"
)

const (
	// pruneInterval is how often unused connections and load records are removed.
	pruneInterval = time.Second
	// stopMargin is the part of StopWithin that is reserved for the exit of the process itself.
	stopMargin = 500 * time.Millisecond
)

// routedInstance is an entry instance that takes its routes and replicas from the platform's store, with all its parts.
type routedInstance struct {
	settings  *settings.Settings
	logger    *slog.Logger
	metrics   metrics.Registry
	listeners *listeners

	store      *platform.Client
	discovery  *discovery.Watcher
	suspicions *suspicions
	origins    *resume.Service
	peers      *routedPeers
	duties     *duty.Elector
	// control is nil if the settings name no control API.
	control *platform.ControlAPI
	stages  *stages.Controller
	// scaling is nil if nothing can be ordered.
	scaling    *scale.Controller
	activity   *fleetActivity
	replicas   *upstream.Registry
	balancer   *place.Balancer
	pool       *relay.Pool
	reach      *reach.Tracker
	forward    *forward.Client
	server     *entry.Server
	httpServer *entry.HTTPServer
	// forwarded accepts the requests that other instances pass on.
	forwarded *forward.Listener
	operator  *operatorServer
	// metricsServer is nil if metrics have no listener of their own.
	metricsServer *operatorServer

	*serverGroup
	stopAuthority context.CancelFunc
	stopParts     context.CancelFunc
}

func newRoutedInstance(ctx context.Context, s *settings.Settings, logger *slog.Logger) (*routedInstance, error) {
	r := &routedInstance{serverGroup: newServerGroup(), settings: s, logger: logger, metrics: metrics.NewRegistry(), replicas: upstream.NewRegistry(), pool: relay.NewPool(nil)}
	var err error
	if r.listeners, err = openListeners(ctx, s); err != nil {
		return nil, err
	}
	r.store = platform.New(s.Platform, r.metrics)
	bounds := memory.NewBounds(s.MemoryMB)
	shared := newSuspicions(r.store, s.Instance, logger)
	shared.table = suspect.New(suspect.Options{Self: member.NewID(s.Instance), Publish: func(*peerpb.Suspicion) { shared.scheduleWrite() }, Logger: logger})
	shared.segments = suspect.NewSegmentTable(suspect.SegmentOptions{Self: s.Instance, OnChange: shared.scheduleWrite, Logger: logger})
	r.suspicions = shared
	relay := &storeRelay{region: s.Region, zone: s.Zone}
	r.discovery = discovery.New(discovery.Options{
		Store: r.store, Relay: relay, Replicas: r.replicas, OnDraining: func(u upstream.Replica) { r.peers.announceLeaving(u) }, Logger: logger,
		OnReplica: func(u upstream.Replica) { r.origins.Listed(u.Service, u.Version) },
		OnOtherEntry: func(now time.Time, entry topo.Entry) {
			shared.merge(now, entry)
			r.duties.Observe(now, entry)
			r.activity.observe(entry)
			r.origins.Observe(entry)
		},
		// Only the holder of the duties reads these keys, and it reads them itself.
		Deferred: func(key string) bool { return key == usage.Key || key == scale.LedgerKey },
		OnList: func(now time.Time, entries []topo.Entry) {
			r.duties.ObserveList(now, entries)
			shared.observeList(entries)
			r.origins.ObserveList(entries)
		},
		Confirm: s.RevokeWithin > 0,
		Format: discovery.Format{
			TableKey: platform.KeyRoutes, ReplicaPrefix: platform.PrefixReplicas, DecodeTable: platform.DecodeTable,
			ReplicaID: platform.ReplicaID, PeerValue: platform.PeerValue,
			DecodeReplica: func(key string, value []byte) (upstream.Replica, error) {
				return platform.DecodeReplica(key, value, s.RegionOf)
			},
		},
	})
	r.peers = newRoutedPeers(s, r.discovery, relay, r.replicas, r.metrics, logger)
	r.origins = resume.New(resume.Options{
		Store: r.store, Replicas: r.replicas, Peers: r.peers.transport, Homes: r.peers.homes, Writes: relay.followsStore,
		HeardAge: func() (time.Duration, bool) { return r.discovery.HeardAge(boottime.Now()) },
		InTouch:  func() bool { return r.discovery.InTouch(boottime.Now()) },
		Metrics:  r.metrics, Logger: logger,
	})
	r.origins.Register(r.peers.transport)
	r.balancer = place.NewBalancer(place.Options{
		Self: r.peers.member.Self(), Region: s.Region, Zone: s.Zone, Seed: engine.EpochHash(member.NewID(s.Instance)), Instances: r.peers.instances,
		MaxReplicaBytes: bounds.Replica, Logger: logger, Metrics: r.metrics,
	})
	health := retry.NewHealth()
	r.reach = newReach(r, health)
	r.forward = newForward(r)
	r.activity = newFleetActivity(s, r.peers, r.needsDemand, r.balancer.PrefillTokensPerMs, r.metrics, logger)
	r.duties = duty.NewElector(duty.Options{
		Store: r.store, Name: s.Instance, Candidate: relay.followsStore, LinkMbps: s.LinkMbps, Metrics: r.metrics, Logger: logger,
	})
	if s.ControlAPI != "" {
		r.control = platform.NewControlAPI(s.ControlAPI, s.ControlRate, r.metrics)
	}
	replicaCalls := platform.NewStageClient()
	r.stages = stages.NewController(stages.Options{
		Authority: r.duties, Claim: r.duties.Duty(duty.StagesDuty), Client: replicaCalls, Table: r.discovery.Table,
		Replicas: r.replicas, ByDemand: r.dividesByDemand, Demand: r.activity.demand, Metrics: r.metrics, Logger: logger,
	})
	r.scaling = newScaling(r)
	r.activity.reportUsage(r)
	r.server = entry.NewServer(entry.Options{
		Document: func() *config.Document { return nil }, Region: s.Region, Health: health, Metrics: r.metrics, Logger: logger,
		Suspects: shared.table, Segments: shared.segments, Memory: memory.NewAccount(bounds),
		Routing: &entry.Routing{
			Table: r.discovery.Table, Replicas: r.replicas, Balancer: r.balancer, Dialect: platform.Dialect{}, Pool: r.pool,
			Activity:     r.activity.recorder,
			Budgets:      retry.NewServiceBudgets(s.RetryShare, s.RetryWindow.D()),
			OnLeaving:    func(u *upstream.Replica) { r.peers.announceLeaving(*u) },
			RevokeWithin: s.RevokeWithin.D(), ConfirmedAge: func() (time.Duration, bool) { return r.discovery.ConfirmedAge(boottime.Now()) },
			Origins: r.origins, Incarnations: replicaCalls, Hedging: newHedging(s, r.balancer), Reach: r.reach, Forward: r.forward,
		},
	})
	r.httpServer = entry.NewHTTPServer(r.server)
	r.forwarded = forward.NewListener()
	r.peers.transport.HandleStreams(func(from string) error {
		r.forward.NoteIsolated(from) // it would not pass a request on otherwise
		return r.httpServer.AdmitForwarded()
	}, r.forwarded.Serve)
	state := operator.NewStateRegistry()
	state.Register("entry", func() any { return r.server.State(time.Now()) })
	state.Register("reach", func() any { return r.reach.Dump(time.Now()) })
	state.Register("replicas", func() any { return r.replicas.All() })
	state.Register("balancer", func() any { return r.balancer.State(time.Now()) })
	state.Register("member", func() any { return r.peers.member.Dump() })
	state.Register("sources", func() any { return relay.Sources() })
	state.Register("duties", func() any { return r.duties.State(time.Now()) })
	state.Register("routes", func() any { return r.discovery.Table() })
	state.Register("streams", func() any { return r.origins.State() })
	state.Register("stages", func() any { return r.stages.Dump() })
	if r.scaling != nil {
		state.Register("scaling", func() any { return r.scaling.Dump() })
	}
	r.activity.register(state)
	r.operator = newOperatorServer(operator.NewServer(operator.Options{
		Ready: r.ready, Metrics: r.metrics, State: state, Explain: r.explain,
	}).Handler())
	return r, nil
}

// explain tells how this instance would serve a request.
func (r *routedInstance) explain(req explain.Request) explain.Result {
	if req.DeadlineMs == 0 {
		req.DeadlineMs = platform.DefaultDeadline.Milliseconds()
	}
	return r.server.Explain(time.Now(), &req)
}

// run serves until the context ends and then stops gracefully.
func (r *routedInstance) run(ctx context.Context, watch SettingsWatcher) error {
	eventStarted.Log(ctx, r.logger, slog.String("instance", r.settings.Instance), slog.Int("pid", os.Getpid()))
	var authorityCtx, partsCtx context.Context
	authorityCtx, r.stopAuthority = context.WithCancel(context.Background())
	partsCtx, r.stopParts = context.WithCancel(context.Background())
	r.running.Go(func() { r.discovery.Run(partsCtx) })
	r.running.Go(func() { r.prune(partsCtx) })
	r.running.Go(func() { r.reach.Run(partsCtx) })
	r.running.Go(func() { r.duties.Run(authorityCtx) })
	r.running.Go(func() { r.stages.Run(authorityCtx) })
	if r.scaling != nil {
		r.running.Go(func() { r.scaling.Run(authorityCtx) })
	}
	r.running.Go(func() { _ = r.peers.member.Run(partsCtx) }) // returns when its context ends
	r.serve(func() error { return r.peers.transport.Serve(r.listeners.peer) })
	r.running.Go(func() { r.suspicions.run(partsCtx) })
	r.running.Go(func() { r.origins.Run(partsCtx) })
	r.running.Go(func() { r.activity.exchange.Run(partsCtx) })
	r.running.Go(func() { r.activity.runDuties(authorityCtx) })
	r.running.Go(func() {
		watch(partsCtx, logReload(r.logger, r.settings, func(next *settings.Settings) { r.store.SetAddress(next.Platform) }),
			logReloadFailure(r.logger))
	})
	r.serve(func() error { return r.operator.Serve(r.listeners.operator) })
	if r.listeners.metrics != nil {
		r.metricsServer = newMetricsServer(r.metrics)
		r.serve(func() error { return r.metricsServer.Serve(r.listeners.metrics) })
	}
	r.serve(func() error { return r.httpServer.ServeForwarded(r.forwarded) })
	r.serve(func() error { return r.httpServer.Serve(r.listeners.caller) })
	var err error
	select {
	case <-ctx.Done():
	case err = <-r.failed:
		eventListenerFailed.Log(ctx, r.logger, slog.Any("error", err))
	}
	return errors.CombineErrors(err, r.stop())
}

// stop gives up the duties first, so that a successor can act while requests finish here.
func (r *routedInstance) stop() error {
	r.stopping.Store(true)
	r.stopAuthority()
	eventStopping.Log(context.Background(), r.logger)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
		defer cancel()
		r.peers.member.Leave(ctx)
	}()
	delay := min(r.settings.DrainDelay.D(), r.settings.StopWithin.D()/2)
	err := r.httpServer.Drain(delay, r.settings.StopWithin.D()-delay-stopMargin)
	r.activity.sendLast()
	r.stopParts()
	ctx, cancel := context.WithTimeout(context.Background(), stopMargin)
	defer cancel()
	_ = r.peers.transport.Shutdown(ctx)
	_ = r.operator.Shutdown(ctx)
	if r.metricsServer != nil {
		_ = r.metricsServer.Shutdown(ctx)
	}
	eventStopped.Log(context.Background(), r.logger)
	return err
}

// ready returns the reason why callers should not use this instance, or nil.
func (r *routedInstance) ready() error {
	switch {
	case r.discovery.Table() == nil:
		return errors.New("no routes yet")
	case !r.httpServer.Ready():
		return errors.New("stopping")
	}
	return nil
}

func (r *routedInstance) prune(ctx context.Context) {
	for sleep.For(ctx, pruneInterval) {
		r.pool.Prune(time.Now())
		r.replicas.ExpireLeaving(time.Now())
		r.balancer.Forget(time.Now(), func(incarnation upstream.Incarnation) bool { return !r.replicas.Usable(incarnation) })
	}
}
