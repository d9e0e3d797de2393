package entry

import (
	"log/slog"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// servedLogsPerSecond and failedLogsPerSecond limit the log lines about routed requests. One instance serves about
	// 30 requests a second at the present size of the deployment. Failures have their own limit, so that a flood of served
	// requests cannot hide them.
	servedLogsPerSecond = 100
	failedLogsPerSecond = 100
	// limitLogsPerSecond limits those about the limits of replicas, which a replica can change with each response.
	limitLogsPerSecond = 20
	// keyLogsPerSecond limits those about keys that cannot be judged, which are all alike during a cut.
	keyLogsPerSecond = 5
	// memoryLogsPerSecond limits those about memory, which are many while a bound is reached.
	memoryLogsPerSecond = 10
)

// logLimiter limits the rate of log lines of one kind. Lines over the limit are counted, and the next line carries the
// count. It is safe for concurrent use.
type logLimiter struct {
	limiter *rate.Limiter
	omitted atomic.Int64
}

func newLogLimiter(perSecond int) *logLimiter {
	return &logLimiter{limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

// allow reports whether a line may be written, and returns the attribute with the number of omitted lines.
func (l *logLimiter) allow() (slog.Attr, bool) {
	if !l.limiter.Allow() {
		l.omitted.Add(1)
		return slog.Attr{}, false
	}
	return slog.Int64("omitted_before", l.omitted.Swap(0)), true
}
