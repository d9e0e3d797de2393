package controller

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventDraining = event.New(1200, "engine change started", slog.LevelInfo,
		"An engine takes no new work, so that its role or its models can be changed once it is empty.")
	eventOrdered = event.New(1201, "engine change ordered", slog.LevelInfo,
		"An empty engine was ordered to change its role or to load a model.")
	eventDone = event.New(1202, "engine change done", slog.LevelInfo,
		"A load report shows the ordered change. The engine takes work again.")
	eventFailed = event.New(1203, "engine change failed", slog.LevelWarn,
		"A change was given up: the order failed, the engine did not become empty, or the change was not seen in time. "+
			"The engine takes work again.")
)
