package entry

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventAttemptFailed = event.New(300, "attempt failed", slog.LevelWarn,
		"An attempt failed. The request is sent to another upstream if its kind, its deadline and the retry budget allow.")
	eventRequestFailed = event.New(301, "request failed", slog.LevelWarn,
		"A caller got an error with status 500 or higher. The attribute code is the code of the error.")
	eventPrefillFailed = event.New(302, "prefill elsewhere failed", slog.LevelWarn,
		"A remote prefill or the KV cache handoff failed. The engine that decodes processes the prompt itself.")
	eventEngineCrashed = event.New(303, "engine crashed", slog.LevelError,
		"An engine or replica broke off a response and has restarted since, or accepts no connections. For routed requests, "+
			"segments lists the parts of the prompt that other requests can share.")
	eventEngineLeaving = event.New(304, "engine leaving", slog.LevelInfo,
		"An engine refused a request because it is draining. The peers are notified.")
	eventUpstreamEjected = event.New(305, "upstream ejected", slog.LevelWarn,
		"An upstream failed several times in a row and gets no requests for a while, unless no other upstream is left.")
	eventDrainStarted = event.New(306, "drain started", slog.LevelInfo,
		"The instance reports not ready and keeps accepting requests for the drain delay, so that the load balancer can notice.")
	eventDrainFinished = event.New(307, "drain finished", slog.LevelInfo,
		"The caller listener is closed and no request is in flight.")
	eventDrainOverdue = event.New(308, "drain overdue", slog.LevelError,
		"Requests outlived the grace period and got an error.")
	eventRequestServed = event.New(310, "request served", slog.LevelInfo,
		"A routed request got a replica's response. The attributes name the route, the version of the routes, the upstream "+
			"with the estimate for it and the age of the load report behind the estimate, and the number of attempts; forwarded "+
			"says that another instance passed the request on. For a stream that the caller takes up again, origin says how the "+
			"software version that began it was found, and origin_version which one it is.")
	eventRequestNotServed = event.New(311, "request not served", slog.LevelInfo,
		"A routed request got an error from this instance, or a stream that was cut off. The attribute run says whether "+
			"it may have run, left_ms how long the caller would still have waited, error how the last attempt failed. Of a "+
			"stream that was cut off, last_event is the ID of the last event that the caller got. For "+
			"a stream that the caller takes up again, origin and origin_version are those of event 310.")
	eventLimitNamed = event.New(312, "replica limit", slog.LevelWarn,
		"A replica names the number of requests a second that it takes from all instances together, or another number than "+
			"before. The attribute share is the part that this instance sends, instances the number it is divided over.")
	eventLimitEnded = event.New(313, "replica limit ended", slog.LevelInfo,
		"A replica no longer names a limit.")
	eventReplicaLeaving = event.New(314, "replica leaving", slog.LevelInfo,
		"A replica's response says that the replica is leaving. This incarnation of it gets no new requests, whatever the store "+
			"lists, and the peers are notified.")
	eventReplicaPaused = event.New(315, "replica paused", slog.LevelInfo,
		"A replica turned a request away and wants none from this instance for asked_ms. It gets none for until_ms.")
	eventSecondAttempt = event.New(2090, "second attempt", slog.LevelInfo,
		"A slow request got a second attempt at another replica. elapsed_ms is how long the first attempt had run, remaining_ms its "+
			"expected remaining time and fresh_ms the expected time of the second one when it was sent, load the part of the slots "+
			"in use. winner is the attempt whose response the caller got.")
	eventMemoryRefused = event.New(316, "refused for lack of memory", slog.LevelWarn,
		"A request was refused before it ran because the instance holds too much for other requests, or its body stopped "+
			"arriving while others needed the room. length is that of the body, -1 if unknown, bound what large bodies may take.")
	eventCallerEnded = event.New(317, "slow caller ended", slog.LevelWarn,
		"A caller made no progress for stalled_ms while the instance held bytes for it and other requests needed the room. Its "+
			"response is cut off, and the attempt at the replica is cancelled.")
	eventMemoryDropped = event.New(318, "no memory for a response", slog.LevelWarn,
		"A replica's response was given up because the bounds of memory left no room for it in time, or never would.")
	eventRequestForwarded = event.New(2122, "request forwarded", slog.LevelInfo,
		"A routed request was passed on because this instance reaches no replicas. The attributes name the instance that "+
			"served it and its status; error says why the answer did not arrive or was cut off.")
	eventTraceDropped = event.New(309, "trace record dropped", slog.LevelWarn,
		"The trace file is too slow or failed; a record was dropped.")
	eventKeyUnjudged = event.New(2001, "key not judged", slog.LevelWarn,
		"A request was refused because the store has confirmed the routes known here too long ago, or never, to tell whether "+
			"its key has been revoked. The attributes are the age, the limit and the version of the routes.")
)
