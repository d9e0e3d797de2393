package engine

import (
	"time"

	"rhubarbpoint/engine"
)

// Options set the size, speed and behaviour of the stand-in. Zero values mean the defaults that are named here.
type Options struct {
	ID string
	// Step is the time of a decode step with one request; StepPerRequest is added by each further one.
	Step           time.Duration
	StepPerRequest time.Duration
	// PrefillTokensPerSecond is the rate of prompt processing. Default 20,000.
	PrefillTokensPerSecond float64
	// MaxRunning bounds the batch (default 32), MaxWaiting the queue (default 1,000).
	MaxRunning int
	MaxWaiting int
	// CacheBlocks is the memory for prefixes, in blocks of engine.PieceTokens. Default 64.
	CacheBlocks int
	// KVBytesPerToken is the size of KV cache (default 100,000), KVBytesPerSecond its import rate (default 10^10).
	KVBytesPerToken  int64
	KVBytesPerSecond int64
	// LoadLag is the age of load reports, CacheEventDelay that of cache events. Each CacheEventLoss-th event is lost;
	// 0 loses none.
	LoadLag         time.Duration
	CacheEventDelay time.Duration
	CacheEventLoss  int
	// OutputTokens is where answers end by themselves; 0 means at the request's limit.
	OutputTokens int
	// Role is the role at the start. Default mixed.
	Role engine.Role
	// Models are the models loaded at the start. Without any, every model is served.
	Models []engine.LoadedModel
	// ChecksFence refuses orders with a fencing number lower than the highest seen.
	ChecksFence bool
	// ChangeTime is how long a change of role, model or adapter takes the engine out of service.
	ChangeTime time.Duration
	// Crash ends the engine at once. Default: panic.
	Crash func()
}

func (o Options) withDefaults() Options {
	setDefault(&o.PrefillTokensPerSecond, 20_000)
	setDefault(&o.MaxRunning, 32)
	setDefault(&o.MaxWaiting, 1000)
	setDefault(&o.CacheBlocks, 64)
	setDefault(&o.KVBytesPerToken, 100_000)
	setDefault(&o.KVBytesPerSecond, 10_000_000_000)
	setDefault(&o.Role, engine.RoleMixed)
	if o.Crash == nil {
		o.Crash = func() { panic("standin engine: crash requested") }
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
