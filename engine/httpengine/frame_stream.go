package httpengine

import (
	"bufio"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/engine"
)

const (
	maxFrameBytes = 64 << 10
	// frameIdleTimeout tolerates one missing keepalive frame of the engines, which send one each second. It leaves half
	// a second to start on another engine within the 3 s by which a silent connection may delay a request.
	frameIdleTimeout = 2500 * time.Millisecond
)

// frameStream decodes a response body with one JSON frame per line.
type frameStream struct {
	body     io.ReadCloser
	lines    *bufio.Scanner
	cancel   context.CancelFunc
	timedOut atomic.Bool
}

func newFrameStream(body io.ReadCloser, cancel context.CancelFunc) *frameStream {
	s := &frameStream{body: body, lines: bufio.NewScanner(body), cancel: cancel}
	s.lines.Buffer(make([]byte, 4096), maxFrameBytes)
	s.lines.Split(scanFrames)
	return s
}

// Recv implements engine.Stream. Only the time spent in Recv counts towards the idle timeout, so that a slow consumer
// is not taken for a silent engine.
func (s *frameStream) Recv() (*engine.Frame, error) {
	timer := time.AfterFunc(frameIdleTimeout, func() {
		s.timedOut.Store(true)
		s.cancel()
	})
	defer timer.Stop()
	if !s.lines.Scan() {
		return nil, s.scanError()
	}
	return decodeFrame(s.lines.Bytes())
}

func (s *frameStream) scanError() error {
	err := s.lines.Err()
	switch {
	case s.timedOut.Load():
		return engine.ErrIdleTimeout
	case err == nil:
		return io.EOF
	case errors.Is(err, bufio.ErrTooLong):
		return errors.Mark(err, engine.ErrCorrupt)
	}
	return errors.Mark(err, engine.ErrConnectionBroken)
}

// Close implements engine.Stream. It closes the connection.
func (s *frameStream) Close() error {
	s.cancel()
	return s.body.Close()
}
