package entry

import "time"

const (
	// maxHeaderBytes and maxHeaders bound what a caller can make the server hold before it is known who calls.
	maxHeaderBytes = 32 << 10
	maxHeaders     = 100
	// headerTimeout and bodyTimeout bound slow senders: a body of the default 8 MiB needs 4.5 Mbit/s.
	headerTimeout = 5 * time.Second
	bodyTimeout   = 15 * time.Second
	// idleTimeout closes connections of callers without a request.
	idleTimeout = 60 * time.Second
	// routedIdleTimeout is the same for routed requests. It is longer than an operator lets callers stay idle, which can
	// change while the server runs; TCP keepalive finds callers that are gone.
	routedIdleTimeout = 5 * time.Minute
	// writeTimeout bounds each flush to a caller, commentInterval is the longest silence in a stream; together they
	// find a caller's silent connection within 15 s.
	writeTimeout    = 5 * time.Second
	commentInterval = 5 * time.Second
	// maxRetries bounds the retries of one request, so that one that always fails does not use up the budget of all.
	maxRetries = 8
	// noEngineWait bounds the wait for an engine while none is available, as after a crash in a small fleet.
	noEngineWait = 5 * time.Second
	// defaultMaxTokens holds for a request that does not say how long its answer may be.
	defaultMaxTokens = 1024
	// stateTimeout bounds the question whether an engine has crashed.
	stateTimeout = time.Second

	defaultDeadline       = 60 * time.Second
	defaultMaxDeadline    = 120 * time.Second
	defaultMaxBodyBytes   = 8 << 20
	defaultContextTokens  = 128_000
	defaultPrefillRate    = 20_000
	defaultServiceTimeout = 5 * time.Second
	defaultPriority       = 5
)

func orDefault[T int | int64 | float64 | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}
