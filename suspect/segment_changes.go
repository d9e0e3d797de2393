package suspect

import (
	"context"
	"log/slog"
	"time"
)

// segmentChanges collects what one call has changed, to be logged and shared once the lock is released.
type segmentChanges struct {
	blamed  []blamedSegment
	cleared []Segment
	refused []refusedSegment
	merged  bool
	// share is set if the other instances should learn of the changes.
	share bool
}

type blamedSegment struct {
	engine  string
	segment Segment
	crashes int
}

type refusedSegment struct {
	segment Segment
	crashes int
	age     time.Duration
}

func (c *segmentChanges) blame(engine string, s Segment, crashes int) {
	c.blamed = append(c.blamed, blamedSegment{engine, s, crashes})
	c.share = true
}

func (c *segmentChanges) any() bool { return len(c.blamed) > 0 || len(c.cleared) > 0 || c.merged }

// maxLoggedSegments bounds the lines that one crash writes.
const maxLoggedSegments = 16

func (c *segmentChanges) log(ctx context.Context, logger *slog.Logger) {
	for _, b := range c.blamed[:min(len(c.blamed), maxLoggedSegments)] {
		eventSegmentBlamed.Log(ctx, logger, slog.Any("segment", b.segment), slog.String("engine", b.engine), slog.Int("crashes", b.crashes),
			slog.Int("blamed", len(c.blamed)))
	}
	for _, s := range c.cleared[:min(len(c.cleared), maxLoggedSegments)] {
		eventSegmentCleared.Log(ctx, logger, slog.Any("segment", s))
	}
	for _, r := range c.refused {
		eventSegmentRefused.Log(ctx, logger, slog.Any("segment", r.segment), slog.Int("crashes", r.crashes), slog.Duration("last_crash_ago", r.age))
	}
}
