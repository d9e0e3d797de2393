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
)
