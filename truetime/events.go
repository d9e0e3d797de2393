package truetime

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var eventEstimate = event.New(2040, "true time estimated", slog.LevelInfo,
	"This instance has its first estimate of true time, or one that differs from the previous estimate by 200 ms or more. step_ms is the difference, for the first estimate that from the wall clock; error_ms bounds the error of the transport; clocks is the number of wall clocks that the estimate uses, of live instances.")
