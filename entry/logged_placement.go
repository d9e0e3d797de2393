package entry

import (
	"log/slog"

	"rhubarbpoint/place"
)

// loggedPlacement is the last placement of a request, for the log.
type loggedPlacement place.Placement

// attrs returns the log attributes with the estimates behind the placement.
func (p *loggedPlacement) attrs() []slog.Attr {
	if p.Replica == nil {
		return nil
	}
	attrs := []slog.Attr{
		logUpstream(p.Replica.ID), slog.String("upstream_version", p.Replica.Version), logMillis("estimate_ms", p.TimeToFirstByte), logMillis("wait_ms", p.Wait),
		logMillis("report_age_ms", p.ReportAge), slog.Int("uncached", p.UncachedTokens),
	}
	if p.Prefill != nil {
		attrs = append(attrs, slog.String("prefill", p.Prefill.ID))
	}
	return attrs
}
