// Package logsink writes log lines to an output without blocking the goroutine that logs: lines are queued up to a
// bound, and beyond it they are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync"
)

// maxQueued is the number of bytes that may wait for a slow output.
const maxQueued = 1 << 20

// Sink is an io.Writer for whole lines. It is safe for concurrent use.
type Sink struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	queue   []byte
	spare   []byte // buffer that is reused as the next queue
	dropped int64
	closed  bool
}

// New returns a sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer. It never fails; a line for which the queue has no space is dropped, as is one after
// Close.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if len(s.queue)+len(line) > maxQueued || s.closed {
		s.dropped++
	} else {
		s.queue = append(s.queue, line...)
	}
	s.mu.Unlock()
	s.signal()
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (s *Sink) Dropped() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Close writes the queued lines and stops the sink.
func (s *Sink) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.signal()
	<-s.done
}

func (s *Sink) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Sink) run() {
	defer close(s.done)
	var reported int64
	for range s.wake {
		s.mu.Lock()
		batch := s.queue
		s.queue, s.spare = s.spare[:0], nil
		dropped, closed := s.dropped, s.closed
		s.mu.Unlock()
		// A failure of the log output cannot be logged.
		_, _ = s.out.Write(batch)
		if dropped > reported {
			_, _ = fmt.Fprintf(s.out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"dropped\":%d}\n", dropped-reported)
			reported = dropped
		}
		s.mu.Lock()
		s.spare = batch
		more := len(s.queue) > 0
		s.mu.Unlock()
		if closed && !more {
			return
		}
		if more {
			s.signal()
		}
	}
}
