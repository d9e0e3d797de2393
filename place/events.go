package place

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var eventClassChanged = event.New(2080, "replica speed class changed", slog.LevelInfo,
	"The standing speed of a replica, relative to the mean of its service and learned from its own work, has changed its class. "+
		"A slow replica is preferred for half as many prompts. The attributes name the speed, the number of measurements, and the "+
		"momentary factor with its age.")
