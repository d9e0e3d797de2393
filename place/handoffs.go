package place

import (
	"math"
	"time"
)

const (
	// handoffGain is the weight of one hand-over of a processed prompt in the share of failures.
	handoffGain = 0.3
	// handoffMemory is the time in which the share of failures loses most of its weight. A replica whose KV caches lapse is
	// tried again after a few seconds.
	handoffMemory = 2 * time.Second
	// handoffLoss is the price of a prompt that was processed in vain, in milliseconds.
	handoffLoss = 300.0
)

// handoffs is the share of processed prompts of a replica that others could not fetch.
type handoffs struct {
	failed float64
	at     time.Time
}

// add takes the outcome of a hand-over.
func (h *handoffs) add(now time.Time, ok bool) {
	failed := 0.0
	if !ok {
		failed = 1
	}
	share := h.share(now)
	h.failed, h.at = share+(failed-share)*handoffGain, now
}

// share returns the share of failures that is to be expected now.
func (h *handoffs) share(now time.Time) float64 {
	if h.failed == 0 {
		return 0
	}
	return h.failed * math.Exp(-now.Sub(h.at).Seconds()/handoffMemory.Seconds())
}
