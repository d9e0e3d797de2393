package claim

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventStoreFailed = event.New(400, "claim store call failed", slog.LevelWarn,
		"A store call for a slot of claims failed; it is tried again while a request waits for it.")
	eventOutcomeNotRecorded = event.New(401, "order outcome not recorded", slog.LevelWarn,
		"The outcome of an order could not be written to the store in time. Repeats at other instances get it from this instance while it lives, and unknown afterwards.")
	eventWriterUnreachable = event.New(402, "claim writer unreachable", slog.LevelInfo,
		"The writer of a partition did not answer; this instance goes to the store itself for some seconds.")
)
