package entry

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbpoint/engine"
	"rhubarbpoint/suspect"
)

// chatSegments returns the segments of a chat that other requests can share: its messages but the last one.
func chatSegments(model string, messages []engine.Message) []suspect.Segment {
	var segments []suspect.Segment
	for _, m := range messages[:max(0, len(messages)-1)] {
		hash := xxhash.New()
		for _, part := range []string{model, m.Role, m.Content} {
			hash.WriteString(part)
			hash.WriteString("\x00")
		}
		segments = append(segments, suspect.Segment(hash.Sum64()))
	}
	return segments
}

// checkSegments returns an error marked suspect.ErrRefused if a segment of the prompt crashes engines.
func (g *generation) checkSegments(now time.Time) (err error) {
	if !g.segmentTrial {
		g.segmentTrial, err = g.server.opts.Segments.Check(now, g.segments)
	}
	return err
}

// beginSegments registers an attempt on the current incarnation of an engine.
func (g *generation) beginSegments(now time.Time, engineID string) (*suspect.SegmentAttempt, error) {
	incarnation := engineID + "/" + strconv.FormatUint(g.server.epochs.get(engineID), 16)
	attempt, err := g.server.opts.Segments.Begin(now, incarnation, g.segments, g.segmentTrial)
	g.segmentTrial = false // a trial is one attempt
	return attempt, err
}
