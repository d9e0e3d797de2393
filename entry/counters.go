package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/memory"
	"rhubarbpoint/traffic"
)

// counters are the server's metrics.
type counters struct {
	requests, failed, attempts, retries, resumed, crashes, callerGone metrics.Counter
	// keysRefused counts 401s, keysUnjudged refusals because the routes are too old to judge a key.
	keysRefused, keysUnjudged metrics.Counter
	// memoryRefused counts requests refused, memoryEnded callers ended and memoryDropped responses cut for lack of memory.
	memoryRefused, memoryEnded, memoryDropped metrics.Counter
	// forwardedHere counts requests that other instances passed on to this one.
	forwardedHere metrics.Counter
	// firstToken is in milliseconds.
	firstToken metrics.Histogram
	registry   metrics.Registry
}

func newCounters(r metrics.Registry, account *memory.Account) *counters {
	r.GetOrRegister("entry.held_bytes", func() metrics.Gauge { return metrics.NewFunctionalGauge(account.Held) })
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("entry."+name, r) }
	return &counters{
		registry: r,
		requests: counter("requests"), failed: counter("failed"), attempts: counter("attempts"),
		retries: counter("retries"), resumed: counter("resumed"), crashes: counter("crashes"),
		callerGone: counter("caller_gone"), keysRefused: counter("keys_refused"), keysUnjudged: counter("keys_unjudged"),
		memoryRefused: counter("memory_refused"), memoryEnded: counter("memory_ended"), memoryDropped: counter("memory_dropped"),
		forwardedHere: counter("forwarded.received"),
		firstToken:    newHistogram(r, "entry.first_token_ms"),
	}
}

func newHistogram(r metrics.Registry, name string) metrics.Histogram {
	return r.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(1028, 0.015))
	}).(metrics.Histogram)
}

// countOutcome counts a finished routed request by its kind and its error code, and records how long it took.
func (c *counters) countOutcome(kind traffic.Kind, failed *Error, took time.Duration) {
	code := "served"
	if failed != nil {
		code = failed.Code
	}
	metrics.GetOrRegisterCounter("entry.routed."+kind.String()+"."+code, c.registry).Inc(1)
	newHistogram(c.registry, "entry.routed."+kind.String()+".took_ms").Update(took.Milliseconds())
}
