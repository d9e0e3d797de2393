package usage

import (
	"context"

	"rhubarbpoint/duty"
)

// Sender reports the usage of one window to the platform. Implementations are safe for concurrent use.
type Sender interface {
	// ReportUsage makes one attempt, without hidden retries. After an error, the platform may or may not have the report.
	ReportUsage(ctx context.Context, term duty.Term, window int64, body []byte) error
}

// Encoder returns the body of the report of a window. Equal arguments give equal bytes.
type Encoder func(window int64, counts map[string]uint64) []byte
