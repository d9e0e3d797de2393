package entry

import "time"

const (
	// maxHeaderBytes and maxHeaders limit what a caller can make the server hold in memory before it is authenticated.
	maxHeaderBytes = 32 << 10
	maxHeaders     = 100
	// headerTimeout and bodyTimeout end requests of slow senders. A body of the default limit, 8 MiB, needs 4.5 Mbit/s.
	headerTimeout = 5 * time.Second
	bodyTimeout   = 15 * time.Second
	// idleTimeout is how long a connection may stay open without a request.
	idleTimeout = 60 * time.Second
	// routedIdleTimeout replaces idleTimeout for routed requests. It is longer than the idle time that an operator allows
	// callers, which can change while the server runs. TCP keepalive detects callers' dead connections.
	routedIdleTimeout = 5 * time.Minute
	// writeTimeout limits each flush to a caller, commentInterval is the longest silence in a stream. Together they
	// detect a caller's dead connection within 15 s.
	writeTimeout    = 5 * time.Second
	commentInterval = 5 * time.Second
	// maxRetries limits the retries of one request, so that a request that always fails does not use up the retry budget
	// that all requests share.
	maxRetries = 8
	// noEngineWait limits the wait for an engine while none is available, for example after a crash in a small fleet.
	noEngineWait = 5 * time.Second
	// defaultMaxTokens applies to a request that does not limit the length of its completion.
	defaultMaxTokens = 1024
	// stateTimeout limits a state request to an engine that may have crashed.
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
