package stages

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

var (
	eventAuthorityTaken = event.New(1400, "stage authority taken", slog.LevelInfo,
		"This instance has acquired the authority to give orders to replicas. Before its first order it waits for a former holder to stop. The attribute fence is its fencing token.")
	eventAuthorityLost = event.New(1401, "stage authority lost", slog.LevelWarn,
		"The lease of this instance has expired or could not be renewed in time. The instance gives no more orders.")
	eventCampaignFailed = event.New(1402, "stage campaign failed", slog.LevelWarn,
		"A replica should change its stage, but the instance could not acquire the authority because a call to the store failed. The campaign is repeated.")
	eventReleaseFailed = event.New(1403, "stage authority not released", slog.LevelWarn,
		"The lease could not be revoked when the instance stopped; it expires after five seconds.")
	eventOrdered = event.New(1404, "stage ordered", slog.LevelInfo,
		"A replica accepted the order to change its stage, or already has the stage. It is unavailable for some seconds while it changes.")
	eventOrderFailed = event.New(1405, "stage order failed", slog.LevelWarn,
		"An order to a replica was refused or got no response. That incarnation of the replica gets no further order for 20 seconds.")
)
