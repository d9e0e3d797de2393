package reach

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventIsolated = event.New(2110, "replicas out of reach", slog.LevelWarn,
		"New connections to several replicas failed for a second and none succeeded, so this instance is probably cut off from "+
			"them. failed is the number of distinct replicas, connected_ms and heard_ms are the times since a connection was "+
			"opened and since anything arrived from a replica, -1 if never. Routed requests are forwarded to other instances.")
	eventReturned = event.New(2111, "replicas within reach", slog.LevelInfo,
		"Connections to replicas succeed again; lasted_ms is how long none did.")
)
