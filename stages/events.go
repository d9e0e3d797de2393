package stages

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventOrdered = event.New(1404, "stage ordered", slog.LevelInfo,
		"A replica accepted the order to change its stage, or already has the stage. It is unavailable for some seconds while it changes.")
	eventOrderFailed = event.New(1405, "stage order failed", slog.LevelWarn,
		"An order to a replica was refused or got no response. That incarnation of the replica gets no further order for 20 seconds.")
	eventDivisionChanged = event.New(1406, "stage division changed", slog.LevelInfo,
		"The sustained demand asked for another number of decode replicas for ten seconds. The attributes from and to have, for each zone, the decode replicas of all replicas listed; slots_demand is the mean number of batch slots taken, utilisation that of the slots after the change. The orders are events 1404.")
	eventDemandUnknown = event.New(1407, "stage demand unknown", slog.LevelInfo,
		"The demand for a service whose division follows it has not been known for five seconds: no reports, too few instances that report, or no requests. The division stays until it is known again.")
)
