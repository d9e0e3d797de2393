package entry

import (
	"log/slog"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// servedLogsPerSecond and failedLines bound the log lines of routed requests for each second. One instance serves about 30
	// requests a second at the size of today; failures have a bound of their own, so that a flood of served requests
	// cannot hide them.
	servedLogsPerSecond = 100
	failedLogsPerSecond = 100
)

// logLimiter bounds the log lines of one kind. Lines beyond the bound are counted and the count is part of the next one. It
// is safe for concurrent use.
type logLimiter struct {
	limiter *rate.Limiter
	omitted atomic.Int64
}

func newLogLimiter(perSecond int) *logLimiter {
	return &logLimiter{limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

// allow says whether a line may be written, with the attribute for those that were not.
func (l *logLimiter) allow() (slog.Attr, bool) {
	if !l.limiter.Allow() {
		l.omitted.Add(1)
		return slog.Attr{}, false
	}
	return slog.Int64("omitted_before", l.omitted.Swap(0)), true
}
