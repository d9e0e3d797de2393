package suspect

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventBlamed = event.New(1100, "suspect blamed", slog.LevelWarn,
		"A request ran on an engine when it crashed, and counts as a possible cause. After 3 crashes it is refused.")
	eventCleared = event.New(1101, "suspect cleared", slog.LevelInfo,
		"A request that was blamed for a crash has finished, so it was not the cause.")
)
