package activity

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventReportDropped = event.New(2041, "activity report dropped", slog.LevelWarn,
		"This instance has reached no collector of activity reports for ten seconds. Counts of windows that end without another report are lost. It keeps trying each second; the event is repeated every ten seconds.")
	eventLastReportLost = event.New(2042, "last activity report lost", slog.LevelWarn,
		"This instance stops and reached no collector, so its counts since the last report are lost.")
)
