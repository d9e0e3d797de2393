package member

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventJoined = event.New(800, "member joined", slog.LevelInfo,
		"An instance became known, or returned after it had been dropped.")
	eventDropped = event.New(801, "member dropped", slog.LevelWarn,
		"No heartbeat of an instance arrived for 15 s; it no longer counts as live.")
	eventUpstreamLeaving = event.New(802, "upstream leaving", slog.LevelInfo,
		"An upstream accepts no new work; the source is the instance that reported it or passed the report on.")
	eventDirectoryFailed = event.New(803, "instance list unavailable", slog.LevelWarn,
		"The platform's instance list could not be read; known members, configured peers and the last list are used.")
	eventConfigFetch = event.New(804, "configuration fetched from peer", slog.LevelInfo,
		"A peer had a higher configuration version; its document was passed to the configuration manager.")
	eventConfigFetchFailed = event.New(805, "configuration fetch failed", slog.LevelWarn,
		"A peer had a higher configuration version, but its document could not be fetched or was refused.")
	eventPaused = event.New(806, "instance was paused", slog.LevelWarn,
		"This process did not run for more than 3 s. That time does not count as silence of the other members.")
)
