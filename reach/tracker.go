// Package reach knows whether this instance reaches the replicas. An instance whose links to all replicas are cut cannot
// serve requests itself and should not blame the replicas.
package reach

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// probeInterval is how often the need for probes is checked, and the pace of probes while there is one.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds the connection setup of a probe.
	probeTimeout = 300 * time.Millisecond
	// maxProbes bounds the probes that run at once.
	maxProbes = 4
	// maxConfirmations bounds the replicas that Confirm tries.
	maxConfirmations = 3
)

// Options configure a Tracker.
type Options struct {
	// Addresses returns the addresses of all replicas. It is called with the lock of the Tracker held.
	Addresses func() []string
	// Dial opens connections for probes. Default: TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnReturn, if set, is called when the phase is no longer Isolated.
	OnReturn func()
	// Logger and Metrics may be nil.
	Logger  *slog.Logger
	Metrics metrics.Registry
}

// Tracker follows the connectivity of this instance to replicas. It is safe for concurrent use. A nil *Tracker always
// reports Reaching.
type Tracker struct {
	opts  Options
	phase atomic.Int32
	// probing counts the probes that run.
	probing atomic.Int32
	wake    chan struct{} // capacity 1
	probes  metrics.Counter
	cuts    metrics.Counter

	mu    sync.Mutex
	state State
}

// New returns a Tracker that sends no probes before Run.
func New(opts Options) *Tracker {
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{}).DialContext
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	t := &Tracker{opts: opts, wake: make(chan struct{}, 1),
		probes: metrics.GetOrRegisterCounter("reach.probes", opts.Metrics), cuts: metrics.GetOrRegisterCounter("reach.isolations", opts.Metrics)}
	gauge := func(name string, value func(Dump) int64) {
		opts.Metrics.GetOrRegister("reach."+name, func() metrics.Gauge {
			return metrics.NewFunctionalGauge(func() int64 { return value(t.Dump(time.Now())) })
		})
	}
	gauge("phase", func(d Dump) int64 { return int64(d.Phase) })
	gauge("failed_replicas", func(d Dump) int64 { return int64(len(d.Failed)) })
	gauge("connected_ms", func(d Dump) int64 { return d.ConnectedMs })
	gauge("heard_ms", func(d Dump) int64 { return d.HeardMs })
	return t
}

// Phase returns the phase as of the latest outcome.
func (t *Tracker) Phase() Phase {
	if t == nil {
		return Reaching
	}
	return Phase(t.phase.Load())
}

// RecordDial records the outcome of opening a connection to a replica.
func (t *Tracker) RecordDial(address string, err error) {
	if t == nil {
		return
	}
	now := time.Now()
	t.mu.Lock()
	before := t.state
	if err != nil {
		t.state.RecordFailure(now, address)
	} else {
		t.state.RecordConnect(now, address, t.listed())
	}
	t.advance(now, &before)
	if err == nil && t.Phase() == Isolated { // the next probe may end it
		select {
		case t.wake <- struct{}{}:
		default:
		}
	}
}

// RecordSend records that a request was sent to a replica.
func (t *Tracker) RecordSend() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.RecordSend(time.Now())
}

// RecordHeard records that a part of a response arrived.
func (t *Tracker) RecordHeard() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.RecordHeard(time.Now())
}

// Run probes connections while their state is not known, until the context ends.
func (t *Tracker) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-t.wake:
		}
		for _, address := range t.due(time.Now()) {
			t.probing.Add(1)
			running.Go(func() {
				defer t.probing.Add(-1)
				t.probe(ctx, address)
			})
		}
	}
}

// Confirm reports whether this instance reaches a replica at another address than the given one, which it tries out. It
// returns true if there are too few others to tell.
func (t *Tracker) Confirm(ctx context.Context, except string) bool {
	if t == nil {
		return true
	}
	if t.Phase() == Isolated {
		return false
	}
	var others []string
	t.mu.Lock()
	for _, address := range t.opts.Addresses() {
		if address != except {
			others = append(others, address)
		}
	}
	t.mu.Unlock()
	if len(others) < doubtfulReplicas {
		return true
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, address := range others[:min(maxConfirmations, len(others))] {
		if t.probe(ctx, address) {
			return true
		}
	}
	return false
}

// probe opens a connection, records the outcome and reports whether it succeeded.
func (t *Tracker) probe(ctx context.Context, address string) bool {
	dialCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	t.probes.Inc(1)
	conn, err := t.opts.Dial(dialCtx, "tcp", address)
	if err == nil {
		conn.Close()
	} else if ctx.Err() != nil {
		return false
	}
	t.RecordDial(address, err)
	return err == nil
}

// due returns the addresses to probe now: at random, those first that have not failed.
func (t *Tracker) due(now time.Time) []string {
	t.mu.Lock()
	n := min(t.state.Probes(now), maxProbes-int(t.probing.Load()))
	if n <= 0 && Phase(t.phase.Load()) == Reaching {
		t.mu.Unlock()
		return nil
	}
	before := t.state
	all := t.opts.Addresses()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var chosen, failed []string
	for _, address := range all {
		switch {
		case t.state.failed[address]:
			failed = append(failed, address)
		case len(chosen) < n:
			chosen = append(chosen, address)
		}
	}
	chosen = append(chosen, failed...)
	t.advance(now, &before)
	return chosen[:max(0, min(n, len(chosen)))]
}

// advance publishes the phase, unlocks and reports a change from the state before.
func (t *Tracker) advance(now time.Time, before *State) {
	phase := t.state.Advance(now, t.listed())
	t.phase.Store(int32(phase))
	failed := len(t.state.failed)
	connected, heard := since(now, t.state.lastConnect), since(now, t.state.lastHeard)
	t.mu.Unlock()
	ctx := context.Background()
	switch was := !before.isolatedSince.IsZero(); {
	case !was && phase == Isolated:
		t.cuts.Inc(1)
		eventIsolated.Log(ctx, t.opts.Logger, slog.Int("failed", failed), slog.Int64("connected_ms", connected), slog.Int64("heard_ms", heard))
	case was && phase != Isolated:
		eventReturned.Log(ctx, t.opts.Logger, slog.Int64("lasted_ms", since(now, before.firstFailure)))
		if t.opts.OnReturn != nil {
			t.opts.OnReturn()
		}
	}
}

// listed returns the number of replicas if that can matter. The lock is held.
func (t *Tracker) listed() int {
	if len(t.state.failed) == 0 {
		return 0
	}
	return len(t.opts.Addresses())
}
