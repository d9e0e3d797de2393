package engine

import (
	"time"

	"rhubarbpoint/engine"
)

// Options configure the size, speed and behaviour of the stand-in. Zero values select the defaults named here.
type Options struct {
	ID string
	// Step is the duration of a decode step with one request; each further request adds StepPerRequest.
	Step           time.Duration
	StepPerRequest time.Duration
	// PrefillTokensPerSecond is the rate of prompt processing. Default 20,000.
	PrefillTokensPerSecond float64
	// MaxRunning is the number of batch slots (default 32), MaxWaiting bounds the queue (default 1,000).
	MaxRunning int
	MaxWaiting int
	// CacheBlocks is the capacity of the prefix cache, in blocks of engine.BlockTokens. Default 64.
	CacheBlocks int
	// KVBytesPerToken is the size of the KV cache of one token (default 100,000), KVBytesPerSecond the rate at which KV
	// cache is imported (default 10^10).
	KVBytesPerToken  int64
	KVBytesPerSecond int64
	// LoadLag is the age of load reports, CacheEventDelay that of cache events. Every CacheEventLoss-th event is lost;
	// 0 loses none.
	LoadLag         time.Duration
	CacheEventDelay time.Duration
	CacheEventLoss  int
	// OutputTokens is the number of tokens after which generation stops by itself; 0 means at the request's limit.
	OutputTokens int
	// Role is the initial role. Default mixed.
	Role engine.Role
	// Models are the models that are loaded initially. Without any, every model is served.
	Models []engine.LoadedModel
	// ChecksFence makes the engine refuse orders with a fencing token lower than the highest seen.
	ChecksFence bool
	// ChangeTime is how long a change of role, model or adapter takes the engine out of service.
	ChangeTime time.Duration
	// Crash ends the process at once. Default: panic.
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
