package authority

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventAcquired = event.New(500, "authority acquired", slog.LevelInfo,
		"This instance became the holder of its region; the fencing number of its term is given.")
	eventLost = event.New(501, "authority lost", slog.LevelWarn,
		"The lease of this holder could not be kept alive or was taken away; another instance takes over.")
	eventReleased = event.New(502, "authority released", slog.LevelInfo,
		"This holder released its lease because it stops.")
	eventGateReplaced = event.New(503, "gate replaced", slog.LevelInfo,
		"The gate of an engine handed over or its process is gone; another instance is its gate.")
	eventSuspended = event.New(504, "orders suspended", slog.LevelWarn,
		"Orders to an engine are suspended: its gate neither answers nor is gone, or no instance can be its gate.")
	eventOrderRefused = event.New(505, "order refused by gate", slog.LevelWarn,
		"This gate refused an order, for example because its holder has lost the authority.")
	eventResolved = event.New(506, "outstanding order resolved", slog.LevelInfo,
		"The outcome of an order that was outstanding was found from the engine's state.")
	eventHandedOver = event.New(507, "gate handed over", slog.LevelInfo,
		"This gate stops and gave up its engines; their holder chooses another gate.")
)
