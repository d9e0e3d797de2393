package controller

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventStarted = event.New(1200, "engine change started", slog.LevelInfo,
		"An engine gets no new work, so that its role or its models can be changed once it is empty.")
	eventOrdered = event.New(1201, "engine change ordered", slog.LevelInfo,
		"An empty engine accepted an order to change its role, to load a model or an adapter, or to unload a model.")
	eventDone = event.New(1202, "engine change done", slog.LevelInfo,
		"A load report shows the ordered change. The engine gets work again.")
	eventFailed = event.New(1203, "engine change failed", slog.LevelWarn,
		"A change was given up: an order failed, the engine did not become empty, no load report showed the change in time, "+
			"the engine was removed, or this instance lost the authority. The engine is no longer excluded from new work.")
)
