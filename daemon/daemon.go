// Package daemon assembles an entry instance from its settings and starts and stops its parts in order.
package daemon

import (
	"context"
	"log/slog"
	"math"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/entry"
	"rhubarbpoint/settings"
)

const (
	// stopTimeout bounds the shutdown of the parts behind the caller listener, once all requests have ended, and the
	// handover of the gates.
	stopTimeout = 10 * time.Second
	// leaveTimeout bounds the notification of the peers that this instance is leaving.
	leaveTimeout = 2 * time.Second
	// noDrainTimeout lets a graceful stop take as long as the in-flight requests.
	noDrainTimeout = time.Duration(math.MaxInt64)
)

// Run serves until the context ends, then stops gracefully: it gives up its authority, notifies its peers, gives the
// load balancer time to notice, and finishes the in-flight requests. It returns an error if a listener failed or a
// request was cut off.
//
// watch watches the settings while the process runs; it may be nil. Settings that cannot change while the process runs
// take effect at its next start.
func Run(ctx context.Context, s *settings.Settings, logger *slog.Logger, watch SettingsWatcher) error {
	if watch == nil {
		watch = func(context.Context, func(*settings.Settings), func(error)) {}
	}
	if s.Routes == settings.RoutesFromPlatform {
		r, err := newRoutedInstance(ctx, s, logger)
		if err != nil {
			return err
		}
		return r.run(ctx, watch)
	}
	i, err := newInstance(ctx, s, logger)
	if err != nil {
		return err
	}
	go watch(ctx, logReload(logger, s, func(*settings.Settings) {}), logReloadFailure(logger))
	eventStarted.Log(ctx, logger, slog.String("instance", i.member.Self()), slog.Int("pid", os.Getpid()))
	i.start()
	select {
	case <-ctx.Done():
	case err = <-i.failed:
		eventListenerFailed.Log(ctx, logger, slog.Any("error", err))
	}
	return errors.CombineErrors(err, i.stop())
}

// start runs all parts in the background.
func (i *instance) start() {
	var authorityCtx, partsCtx context.Context
	authorityCtx, i.stopAuthority = context.WithCancel(context.Background())
	partsCtx, i.stopParts = context.WithCancel(context.Background())
	i.running.Go(func() { i.manager.Run(partsCtx) })
	i.running.Go(func() { _ = i.member.Run(partsCtx) })
	i.running.Go(func() { i.capacity.run(partsCtx) })
	i.serve(func() error { return i.transport.Serve(i.listeners.peer) })
	i.serve(func() error { return i.operator.Serve(i.listeners.operator) })
	i.serve(func() error { return i.httpServer.Serve(i.listeners.caller) })
	if i.listeners.metrics != nil {
		i.metricsServer = newMetricsServer(i.metrics)
		i.serve(func() error { return i.metricsServer.Serve(i.listeners.metrics) })
	}
	if i.holder != nil {
		i.authorityLoops.Go(func() { i.holder.Run(authorityCtx) })
		i.authorityLoops.Go(func() { i.controller.Run(authorityCtx) })
	}
}

// stop gives up the authority and the gates first, so that a successor can act while requests finish here.
func (i *instance) stop() error {
	i.stopping.Store(true)
	eventStopping.Log(context.Background(), i.logger)
	var handover sync.WaitGroup
	handover.Go(i.handOver)
	err := i.httpServer.Drain(i.settings.DrainDelay.D(), noDrainTimeout)
	handover.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if i.claimer != nil {
		err = errors.CombineErrors(err, i.claimer.Stop(ctx))
	}
	i.stopParts()
	_ = i.transport.Shutdown(ctx)
	_ = i.operator.Shutdown(ctx)
	if i.metricsServer != nil {
		_ = i.metricsServer.Shutdown(ctx)
	}
	i.running.Wait()
	if i.trace != nil {
		err = errors.CombineErrors(err, i.trace.Close())
	}
	eventStopped.Log(context.Background(), i.logger)
	return err
}

func (i *instance) handOver() {
	i.stopAuthority()
	i.authorityLoops.Wait()
	if i.gate != nil {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if err := i.gate.Stop(ctx); err != nil {
			eventGateNotHandedOver.Log(ctx, i.logger, slog.Any("error", err))
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	i.member.Leave(ctx)
}

// ready returns the reason why callers should not use this instance, or nil.
func (i *instance) ready() error {
	switch {
	case !i.manager.Ready():
		return errors.New("no configuration yet")
	case !i.httpServer.Ready():
		return errors.New("stopping")
	}
	return nil
}

var _ entry.Recorder = (*entry.TraceFile)(nil)
