package usage

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventDecided = event.New(2043, "usage window decided", slog.LevelInfo,
		"The holder of the duties has written the counts of a window into the store. after_ms is the time since the end of the window, complete says whether all live instances had reported their final counts, missing is the number of those that had not.")
	eventSent = event.New(2044, "usage report sent", slog.LevelInfo,
		"The platform has confirmed the report of a window. after_ms is the time since the end of the window, attempts includes failed ones of this instance.")
	eventNotSent = event.New(2045, "usage report not sent", slog.LevelWarn,
		"An attempt to send the report of a window failed or got no response. It is repeated with the same bytes until five seconds after the report was due.")
	eventMissed = event.New(2046, "usage windows missed", slog.LevelError,
		"The windows from first to last can no longer be reported in time, for example because there was no holder or the store did not respond. They are left out.")
	eventStoreFailed = event.New(2047, "usage key not accessible", slog.LevelWarn,
		"The holder could not read or write the decided windows in the store. It reads them again before it decides or sends anything. The event is logged at most once a second.")
	eventNotFetched = event.New(2048, "usage counts not fetched", slog.LevelWarn,
		"No collector of activity reports responded to the holder. The window is decided with the counts known here when its report would be late otherwise. The event is logged at most once a second.")
)
