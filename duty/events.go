package duty

import (
	"log/slog"

	"rhubarbpoint/internal/event"
)

// The numbers and names of the events 1400 to 1403 date from the time when changes of stages were the only duty.
var (
	eventAuthorityTaken = event.New(1400, "stage authority taken", slog.LevelInfo,
		"This instance has acquired the authority to give orders to replicas and to perform all other duties. Before its first order it waits for a former holder to stop. The attribute fence is its fencing token, needed_by lists the duties that need the authority.")
	eventAuthorityLost = event.New(1401, "stage authority lost", slog.LevelWarn,
		"The lease of this instance has expired or could not be renewed in time. The instance gives no more orders and performs no other duty.")
	eventCampaignFailed = event.New(1402, "stage campaign failed", slog.LevelWarn,
		"A duty needs the authority, such as a replica that should change its stage, but the instance could not acquire it because a call to the store failed. The campaign is repeated.")
	eventReleaseFailed = event.New(1403, "stage authority not released", slog.LevelWarn,
		"The lease could not be revoked when the instance stopped; it expires after five seconds.")
	eventActing = event.New(2020, "duties begun", slog.LevelInfo,
		"This instance holds the authority and may act from now on. The attribute waited is the time since it acquired the authority; first_holder means that no other instance held it before.")
	eventKeyDeleted = event.New(2021, "authority key deleted", slog.LevelInfo,
		"The watch of the store has shown that no instance holds the authority any more. This instance campaigns after the delay unless another one is seen to have acquired it by then. The delay is longer on a small link (link_mbps, 0 if unknown).")
)
