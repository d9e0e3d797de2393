package entry

import (
	"context"
	"log/slog"

	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/hedge"
)

// Outcomes of a race of two attempts, for the log.
const (
	outcomeCancelled  = "one responded, the other was cancelled"
	outcomeOnlyOne    = "one responded after the other had failed"
	outcomeBothFailed = "both failed"
)

// secondLogsPerSecond limits the log lines about second attempts.
const secondLogsPerSecond = 20

func (h *hedgedExchange) count(name string) {
	metrics.GetOrRegisterCounter("hedge."+name, h.server.metrics.registry).Inc(1)
}

// countDenied counts why no second attempt was sent, each reason once for a request.
func (h *hedgedExchange) countDenied(reason hedge.Reason) {
	if reason == hedge.Early || h.denied[reason] {
		return
	}
	h.denied[reason] = true
	h.count("denied." + string(reason))
}

// finishRace counts and logs the outcome of a second attempt. winner is nil if both attempts failed.
func (h *hedgedExchange) finishRace(ctx context.Context, r *race, winner *raceAttempt, outcome string) {
	name := "none"
	switch winner {
	case nil:
	case r.second:
		name = "second"
		h.count("won")
	default:
		name = "first"
	}
	omitted, allowed := h.server.secondLogs.allow()
	if !allowed {
		return
	}
	eventSecondAttempt.Log(ctx, h.server.opts.Logger, slog.String("request", h.call.ID), slog.String("service", h.service.Name),
		slog.String("first", r.first.placement.Replica.ID), slog.String("second", r.second.placement.Replica.ID),
		logMillis("elapsed_ms", r.decision.Elapsed), logMillis("remaining_ms", r.decision.Remaining), logMillis("fresh_ms", r.decision.Fresh),
		slog.Float64("load", r.load), slog.String("winner", name), slog.String("outcome", outcome), omitted)
}
