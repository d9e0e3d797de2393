package member

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventJoined = event.New(800, "member joined", slog.LevelInfo,
		"An instance was heard of for the first time, or again after it had been dropped.")
	eventDropped = event.New(801, "member dropped", slog.LevelWarn,
		"An instance was not heard from for 15 s and no longer counts as live.")
	eventUpstreamLeaving = event.New(802, "upstream leaving", slog.LevelInfo,
		"An upstream takes no new work; the source says who reported it.")
	eventDirectoryFailed = event.New(803, "instance list unavailable", slog.LevelWarn,
		"The platform's instance list could not be read; known members and configured peers are used.")
	eventConfigFetch = event.New(804, "configuration fetched from peer", slog.LevelInfo,
		"A peer had a higher configuration version; its document was offered to the configuration manager.")
	eventConfigFetchFailed = event.New(805, "configuration fetch failed", slog.LevelWarn,
		"A peer had a higher configuration version, but its document could not be fetched or was refused.")
	eventPaused = event.New(806, "instance was paused", slog.LevelWarn,
		"This process did not run for seconds; the ages of all members were extended by that time.")
)
