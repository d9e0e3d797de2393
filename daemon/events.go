package daemon

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventStarted = event.New(1000, "instance started", slog.LevelInfo,
		"The process has opened its listeners. Readiness follows once it has a configuration.")
	eventStopping = event.New(1001, "instance stopping", slog.LevelInfo,
		"A graceful stop has begun: the instance is no longer ready and finishes its in-flight requests.")
	eventStopped = event.New(1002, "instance stopped", slog.LevelInfo,
		"The graceful stop is complete. The process exits.")
	eventListenerFailed = event.New(1003, "listener failed", slog.LevelError,
		"A listener failed. The instance stops gracefully.")
	eventReloaded = event.New(1005, "settings read again", slog.LevelInfo,
		"The settings file has changed or the process got SIGHUP. The attribute at_next_start lists the changed fields that "+
			"take effect only after a restart.")
	eventReloadFailed = event.New(1006, "settings refused", slog.LevelError,
		"The settings file was read again and is invalid. The process keeps its current settings.")
	eventSuspicionsUnreadable = event.New(1007, "suspicions unreadable", slog.LevelWarn,
		"Another instance's list of suspect requests (that may crash replicas) cannot be decoded and is ignored.")
	eventSuspicionsNotShared = event.New(1008, "suspicions not shared", slog.LevelWarn,
		"This instance's list of suspect requests (that may crash replicas) could not be written to the store. It is retried.")
	eventGateNotHandedOver = event.New(1004, "gate not handed over", slog.LevelWarn,
		"This process remains the gate of some engines. Their orders are suspended until the instance list no longer "+
			"shows it.")
)
