package suspect

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventBlamed = event.New(1100, "suspect blamed", slog.LevelWarn,
		"An engine crashed while it ran the request, which counts as a possible cause. After 3 crashes the request is refused.")
	eventCleared = event.New(1101, "suspect cleared", slog.LevelInfo,
		"A request that had been blamed for a crash finished, so it was not the cause.")
	eventSegmentBlamed = event.New(1102, "segment blamed", slog.LevelWarn,
		"An engine crashed while it ran a request with this prompt segment. All shared segments on the engine are blamed, at "+
			"most 16 are logged; the attribute blamed is their number.")
	eventSegmentCleared = event.New(1103, "segment cleared", slog.LevelInfo,
		"An engine answered a request with a prompt segment that had been blamed for crashes, so it was not their cause.")
	eventSegmentRefused = event.New(1104, "segment refused", slog.LevelError,
		"A prompt segment is the likely cause of several crashes. Requests with it are refused for 10 minutes after the last "+
			"crash, or until an engine answers one. A refusal that is not certain is tried again by single requests.")
)
