package manager

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventInForce = event.New(200, "configuration in force", slog.LevelInfo,
		"This instance has moved to a higher version of the configuration.")
	eventRefused = event.New(201, "configuration document refused", slog.LevelError,
		"A document from the store or a peer is unreadable or invalid for this release; the version in force is kept.")
	eventStoreBehind = event.New(202, "store holds an older configuration", slog.LevelError,
		"The store has lost the version in force; edits are refused until it holds that version again.")
	eventWrittenAgain = event.New(207, "configuration written again", slog.LevelWarn,
		"The store was restored from a copy that holds an older configuration than the one in force, or none. This instance has "+
			"written the one in force again.")
	eventReadFailed = event.New(203, "configuration read failed", slog.LevelWarn,
		"The store could not be read; the version in force is kept. Logged once for each outage.")
	eventEditAccepted = event.New(204, "configuration edit accepted", slog.LevelInfo,
		"An edit through this instance was accepted.")
	eventEditRefused = event.New(205, "configuration edit refused", slog.LevelInfo,
		"An edit through this instance was refused and has no effect.")
	eventEditUnknown = event.New(206, "configuration edit outcome unknown", slog.LevelWarn,
		"The outcome of an edit could not be read back from the store; submitting the same edit with the same ID determines it.")
)
