package forward

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventPeerAvoided = event.New(2120, "instance not used to forward", slog.LevelDebug,
		"Another instance took no forwarded request; error says why. It gets none for avoid_ms.")
	eventSuspended = event.New(2121, "forwarding suspended", slog.LevelWarn,
		"The other instances that were asked reach no replicas either, so nothing is forwarded for suspend_ms.")
)
