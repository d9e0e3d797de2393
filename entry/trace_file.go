package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"sync"

	"github.com/cockroachdb/errors"
)

// traceQueueSize is the number of records that can wait to be written.
const traceQueueSize = 1024

// TraceFile writes one JSON line for each record. A record that finds the queue full is dropped, so that a slow file
// never delays a request. It is safe for concurrent use.
type TraceFile struct {
	logger *slog.Logger
	queue  chan Record
	done   chan struct{}
	err    error

	mu     sync.Mutex
	closed bool
}

// NewTraceFile returns a trace file that writes to w in the background. Close must be called.
func NewTraceFile(w io.Writer, logger *slog.Logger) *TraceFile {
	f := &TraceFile{logger: logger, queue: make(chan Record, traceQueueSize), done: make(chan struct{})}
	go f.run(w)
	return f
}

// Record implements Recorder.
func (f *TraceFile) Record(r Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	select {
	case f.queue <- r:
	default:
		eventTraceDropped.Log(context.Background(), f.logger)
	}
}

// Close writes the queued records and returns the first error of w. It does not close w.
func (f *TraceFile) Close() error {
	f.mu.Lock()
	if !f.closed {
		f.closed = true
		close(f.queue)
	}
	f.mu.Unlock()
	<-f.done
	return f.err
}

func (f *TraceFile) run(w io.Writer) {
	defer close(f.done)
	out := bufio.NewWriter(w)
	lines := json.NewEncoder(out)
	for r := range f.queue {
		f.err = errors.CombineErrors(f.err, lines.Encode(r))
		if len(f.queue) == 0 {
			f.err = errors.CombineErrors(f.err, out.Flush())
		}
	}
	f.err = errors.CombineErrors(f.err, out.Flush())
}
