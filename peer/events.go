package peer

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventSessionOpened = event.New(700, "peer session opened", slog.LevelDebug,
		"A session to or from another instance was established.")
	eventSessionClosed = event.New(701, "peer session closed", slog.LevelInfo,
		"A session ended. The error shows whether the peer closed it, was silent or sent invalid data.")
	eventBadFrame = event.New(702, "peer frame refused", slog.LevelWarn,
		"A call could not be read: its frame was corrupt, too large, truncated or too slow.")
	eventHandlerPanic = event.New(703, "peer handler panicked", slog.LevelError,
		"The handler of a call panicked; the caller gets an internal error.")
	eventTooManySessions = event.New(704, "peer session refused", slog.LevelWarn,
		"A connection was closed because the maximum number of sessions is open.")
)
