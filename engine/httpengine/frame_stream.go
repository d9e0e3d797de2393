package httpengine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/engine"
)

const (
	maxFrameBytes = 64 << 10
	// frameIdleTimeout is three times the engines' keepalive interval of one second.
	frameIdleTimeout = 3 * time.Second
)

// frameStream reads one JSON frame a line.
type frameStream struct {
	body   io.ReadCloser
	lines  *bufio.Scanner
	cancel context.CancelFunc
	timer  *time.Timer
}

func newFrameStream(body io.ReadCloser, cancel context.CancelFunc) *frameStream {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 4096), maxFrameBytes)
	return &frameStream{body: body, lines: lines, cancel: cancel, timer: time.AfterFunc(frameIdleTimeout, cancel)}
}

// Recv implements engine.Stream.
func (s *frameStream) Recv() (*engine.Frame, error) {
	s.timer.Reset(frameIdleTimeout)
	started := time.Now()
	if !s.lines.Scan() {
		return nil, s.scanError(time.Since(started))
	}
	var f engine.Frame
	if err := json.Unmarshal(s.lines.Bytes(), &f); err != nil {
		return nil, errors.Mark(err, engine.ErrCorrupt)
	}
	return &f, nil
}

func (s *frameStream) scanError(waited time.Duration) error {
	err := s.lines.Err()
	switch {
	case err == nil:
		return io.EOF
	case errors.Is(err, bufio.ErrTooLong):
		return errors.Mark(err, engine.ErrCorrupt)
	case waited >= frameIdleTimeout:
		return errors.Mark(err, engine.ErrSilent)
	}
	return errors.Mark(err, engine.ErrBroken)
}

// Close implements engine.Stream.
func (s *frameStream) Close() error {
	s.timer.Stop()
	s.cancel()
	return s.body.Close()
}
