package claim

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventStoreFailed = event.New(400, "claim store call failed", slog.LevelWarn,
		"A store call for a slot of claim records failed; it is retried while a request waits for it.")
	eventOutcomeNotRecorded = event.New(401, "order outcome not recorded", slog.LevelWarn,
		"The outcome of an order could not be written to the store in time. Duplicate requests at other instances get the outcome from this instance as long as it runs, and the state unknown afterwards.")
	eventWriterUnreachable = event.New(402, "claim writer unreachable", slog.LevelInfo,
		"The writer of a partition did not answer; this instance writes to the store directly for a few seconds.")
)
