package scale

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventDecided = event.New(2060, "replicas to be ordered", slog.LevelInfo,
		"This instance decided on another number of replicas of a service in a zone and will order it. The attributes name the kind, the reason, the demand in replicas that work all the time with its age, the replicas that serve (present), the number in force before (from) and the price of one replica.")
	eventUnavailable = event.New(2061, "replicas not available", slog.LevelWarn,
		"The platform has no more replicas of this kind in the zone. The number in force before stays, and the zone is left out for three seconds.")
	eventRateLimited = event.New(2062, "orders of replicas limited", slog.LevelWarn,
		"The platform turned an order away because there were too many calls. No order is sent for pause_ms.")
	eventOrderFailed = event.New(2063, "order of replicas failed", slog.LevelWarn,
		"An order was refused or got no response. Without a response it is repeated with the same number until there is a response or another decision.")
	eventStoreFailed = event.New(2064, "ordered replicas not read or written", slog.LevelWarn,
		"The key with the numbers ordered last could not be read or written. Nothing is decided until it can be. Logged once for each outage.")
	eventLedgerUnreadable = event.New(2065, "ordered replicas unreadable", slog.LevelError,
		"The key with the numbers ordered last has an unreadable value. It is replaced, and the numbers of listed replicas count as ordered.")
	eventReclaimed = event.New(2066, "preemptible replicas reclaimed", slog.LevelInfo,
		"The platform takes the preemptible replicas of a zone away. Their share moves to other zones, and none are ordered there for three seconds.")
	eventTermStarted = event.New(2067, "scaling started", slog.LevelInfo,
		"This instance holds the duties and has read the numbers that were ordered last.")
)
