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
	// stopTimeout bounds the end of the parts behind the caller listener, once all requests have ended.
	stopTimeout = 10 * time.Second
	// leaveTimeout bounds telling the peers that this instance leaves.
	leaveTimeout = 2 * time.Second
	// noLimit leaves a planned stop as long as requests in flight may take.
	noLimit = time.Duration(math.MaxInt64)
)

// Run serves until the context ends, then stops gracefully: it gives up its authority, tells its peers, lets the balancer
// notice, and finishes the requests in flight. It returns an error when a listener fails or a request was cut off.
//
// reload calls its argument with the settings each time that they are read again; it may be nil. Settings that cannot
// change while the process runs take effect at its next start.
func Run(ctx context.Context, s *settings.Settings, logger *slog.Logger, reload SettingsWatcher) error {
	if reload == nil {
		reload = func(context.Context, func(*settings.Settings), func(error)) {}
	}
	if s.Routes == settings.RoutesFromPlatform {
		r, err := newRouted(ctx, s, logger)
		if err != nil {
			return err
		}
		return r.run(ctx, reload)
	}
	i, err := newInstance(ctx, s, logger)
	if err != nil {
		return err
	}
	go reload(ctx, reloadLogger(logger, s, func(*settings.Settings) {}), reloadFailed(logger))
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
	var authority, parts context.Context
	authority, i.stopAuthority = context.WithCancel(context.Background())
	parts, i.stopParts = context.WithCancel(context.Background())
	i.running.Go(func() { i.manager.Run(parts) })
	i.running.Go(func() { _ = i.member.Run(parts) })
	i.running.Go(func() { i.capacity.run(parts) })
	i.serve(func() error { return i.transport.Serve(i.listeners.peer) })
	i.serve(func() error { return i.operator.Serve(i.listeners.operator) })
	i.serve(func() error { return i.front.Serve(i.listeners.caller) })
	if i.listeners.metrics != nil {
		i.metricsServer = newMetricsListener(i.metrics)
		i.serve(func() error { return i.metricsServer.Serve(i.listeners.metrics) })
	}
	if i.holder != nil {
		i.authority.Go(func() { i.holder.Run(authority) })
		i.authority.Go(func() { i.controller.Run(authority) })
	}
}

// stop gives up the authority and the gates first, so that a successor can act while requests finish here.
func (i *instance) stop() error {
	i.stopping.Store(true)
	eventStopping.Log(context.Background(), i.logger)
	var handover sync.WaitGroup
	handover.Go(i.handOver)
	err := i.front.Drain(i.settings.DrainDelay.D(), noLimit)
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
	i.authority.Wait()
	if i.gate != nil {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if err := i.gate.Stop(ctx); err != nil {
			eventGateKept.Log(ctx, i.logger, slog.Any("error", err))
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	i.member.Leave(ctx)
}

// ready returns why callers should not come here, or nil.
func (i *instance) ready() error {
	switch {
	case !i.manager.Ready():
		return errors.New("no configuration yet")
	case !i.front.Ready():
		return errors.New("stopping")
	}
	return nil
}

var _ entry.Recorder = (*entry.TraceFile)(nil)
