package discovery

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventStoreLost = event.New(1300, "store lost", slog.LevelWarn,
		"A call that reads or watches the routes and replicas failed. The last known routes and replicas stay in use.")
	eventStoreRegained = event.New(1301, "store regained", slog.LevelInfo,
		"The store responds again. Replicas that it no longer lists are dropped two seconds later.")
	eventSourceFailed = event.New(1308, "source failed", slog.LevelWarn,
		"The instance through which this one follows the store did not respond or has no changes to pass on. Another one, "+
			"or the store itself, is asked instead.")
	eventCaughtUp = event.New(1309, "caught up", slog.LevelInfo,
		"A source kept this instance waiting without a response, or the sources confirm nothing, so the store was asked for the "+
			"changes after the revision. "+
			"The attribute error says why that failed; the next source is asked then.")
	eventHistoryLost = event.New(1302, "history lost", slog.LevelInfo,
		"The store has compacted the changes since the last watch; all entries are read again.")
	eventStoreRestored = event.New(1311, "store restored", slog.LevelWarn,
		"The store was restored from an older copy since the era and the revision that this instance knows. All entries are read again.")
	eventEntryDoubted = event.New(1312, "entry doubted", slog.LevelInfo,
		"The store was restored from a copy that has an older entry of a replica that was leaving or gone. The replica is not used "+
			"unless the store still has that entry five seconds later.")
	eventTooManyChanges = event.New(1310, "too many changes", slog.LevelInfo,
		"The changes since the last watch are too large for a response; all entries are read again.")
	eventTableInForce = event.New(1303, "routes in force", slog.LevelInfo,
		"A new version of the routes is in force on this instance.")
	eventTableRefused = event.New(1304, "routes refused", slog.LevelError,
		"The store holds routes that cannot be decoded. The version in force stays.")
	eventReplicaChanged = event.New(1305, "replica listed", slog.LevelInfo,
		"A replica is new or its entry has changed, for example because it drains or has restarted.")
	eventReplicaGone = event.New(1306, "replica gone", slog.LevelInfo,
		"A replica is no longer listed and gets no new requests.")
	eventReplicaUnreadable = event.New(1307, "replica unreadable", slog.LevelWarn,
		"An entry under the key prefix of replicas does not describe a usable replica.")
	eventAskedOther = event.New(2000, "other follower asked", slog.LevelInfo,
		"The store did not respond to this instance, which follows it itself, but another instance that follows it does. The "+
			"changes and confirmations of that one are used, and the store is asked again within a second.")
)
