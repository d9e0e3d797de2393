package stages

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventAuthorityTaken = event.New(1400, "stage authority taken", slog.LevelInfo,
		"This instance may give orders to replicas, after a pause in which a former holder stops. The attribute fence is its fencing token.")
	eventAuthorityLost = event.New(1401, "stage authority lost", slog.LevelWarn,
		"The lease of this instance has ended or could not be renewed in time. It gives no orders.")
	eventCampaignFailed = event.New(1402, "stage campaign failed", slog.LevelWarn,
		"A replica should change its stage, but the store did not answer. The campaign is repeated.")
	eventReleaseFailed = event.New(1403, "stage authority not released", slog.LevelWarn,
		"The lease could not be ended at a stop; it ends by itself after five seconds.")
	eventOrdered = event.New(1404, "stage ordered", slog.LevelInfo,
		"A replica accepted the order to change its stage, or has the stage already. It is away for some seconds.")
	eventOrderFailed = event.New(1405, "stage order failed", slog.LevelWarn,
		"An order to a replica was refused or got no answer. That start of the replica gets no further order for 20 seconds.")
)
