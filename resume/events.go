package resume

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventOriginUnknown = event.New(2100, "origin of a stream unknown", slog.LevelWarn,
		"A caller takes a stream up again that may have begun at several software versions of its service, and neither this "+
			"instance nor the peers that it asked know at which. The request is refused. heard_ms_ago is the time since this instance last heard from "+
			"the store. At most one line a second.")
	eventVersionsRecorded = event.New(2101, "software versions recorded", slog.LevelInfo,
		"This instance has written into the store which software versions of each service may have open streams.")
	eventVersionsNotRecorded = event.New(2102, "software versions not recorded", slog.LevelWarn,
		"Writing the software versions of the services into the store failed. It is tried again.")
	eventRecordUnreadable = event.New(2103, "record of software versions unreadable", slog.LevelError,
		"The store's record of software versions cannot be decoded. It is written anew; until then, streams that nobody knows are not continued.")
)
