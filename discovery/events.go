package discovery

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventLost = event.New(1300, "store lost", slog.LevelWarn,
		"A call to follow the routes or the replicas failed. What was known last stays in use.")
	eventRegained = event.New(1301, "store regained", slog.LevelInfo,
		"The store answers again. Replicas that it no longer lists are dropped two seconds later.")
	eventHistoryLost = event.New(1302, "history lost", slog.LevelInfo,
		"The store has discarded the changes since the last watch; everything is read again.")
	eventTableInForce = event.New(1303, "routes in force", slog.LevelInfo,
		"A new version of the routes is in force on this instance.")
	eventTableRefused = event.New(1304, "routes refused", slog.LevelError,
		"The store holds routes that cannot be read. The version in force stays.")
	eventReplicaChanged = event.New(1305, "replica listed", slog.LevelInfo,
		"A replica is new or its description changed, for example because it drains or has started again.")
	eventReplicaGone = event.New(1306, "replica gone", slog.LevelInfo,
		"A replica is no longer listed and gets no new requests.")
	eventReplicaUnreadable = event.New(1307, "replica unreadable", slog.LevelWarn,
		"An entry under the replicas' prefix names no replica that can be used.")
)
