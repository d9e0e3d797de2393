package authority

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventAcquired = event.New(500, "authority acquired", slog.LevelInfo,
		"This instance now holds the authority of its region. The attribute fence is the fencing token of its term.")
	eventLost = event.New(501, "authority lost", slog.LevelWarn,
		"This holder could not keep its lease alive, or the lease no longer exists. Another instance takes over.")
	eventReleased = event.New(502, "authority released", slog.LevelInfo,
		"This holder is stopping and has released its lease.")
	eventGateReplaced = event.New(503, "gate replaced", slog.LevelInfo,
		"An engine got its first gate, or another one because its gate has handed over, has ended or became the holder.")
	eventSuspended = event.New(504, "orders suspended", slog.LevelWarn,
		"An engine, or its gate that has not ended, did not accept the fencing token, or no instance can be its gate.")
	eventOrderRefused = event.New(505, "order refused by gate", slog.LevelWarn,
		"This gate returned an error for an order, for example because its holder has lost the authority.")
	eventResolved = event.New(506, "outstanding order resolved", slog.LevelInfo,
		"The engine's state showed the outcome of an order that was outstanding.")
	eventHandedOver = event.New(507, "gate handed over", slog.LevelInfo,
		"This gate is stopping and has handed over its engines. Their holder chooses other gates.")
)
