package daemon

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventStarted = event.New(1000, "instance started", slog.LevelInfo,
		"The process has opened its listeners. Readiness follows once it has a configuration.")
	eventStopping = event.New(1001, "instance stopping", slog.LevelInfo,
		"A graceful stop has begun: no longer ready, requests in flight are finished.")
	eventStopped = event.New(1002, "instance stopped", slog.LevelInfo,
		"The process ends.")
	eventListenerFailed = event.New(1003, "listener failed", slog.LevelError,
		"A listener failed. The instance stops gracefully.")
	eventReloaded = event.New(1005, "settings read again", slog.LevelInfo,
		"The settings file has changed or SIGHUP came. The attribute at_next_start names the changed fields that need a new "+
			"start of the process.")
	eventReloadFailed = event.New(1006, "settings refused", slog.LevelError,
		"The settings file was read again and is not valid. The process goes on with the settings that it has.")
	eventSuspicionsUnreadable = event.New(1007, "suspicions unreadable", slog.LevelWarn,
		"Another instance's list of requests that crash replicas cannot be read and is ignored.")
	eventSuspicionsNotShared = event.New(1008, "suspicions not shared", slog.LevelWarn,
		"This instance's list of requests that crash replicas could not be written to the store. It is tried again.")
	eventGateKept = event.New(1004, "gate not handed over", slog.LevelWarn,
		"Some engines keep this process as their gate. Their orders are suspended until the instance list no longer "+
			"shows it.")
)
