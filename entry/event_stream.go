package entry

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// eventStream writes server-sent events. It sends a comment when nothing else was sent for a while, so that both ends
// notice a dead connection. Each flush has a time limit.
type eventStream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	cancel  context.CancelCauseFunc
	timer   *time.Timer

	mu      sync.Mutex
	started bool
	closed  bool
	err     error
}

// newEventStream returns a stream that calls cancel when a write to the caller fails.
func newEventStream(w http.ResponseWriter, cancel context.CancelCauseFunc) *eventStream {
	s := &eventStream{w: w, control: http.NewResponseController(w), cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(commentInterval, s.comment)
	return s
}

// data sends one event.
func (s *eventStream) data(content []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write("data: ", content)
}

// hasStarted reports whether the status line has been sent.
func (s *eventStream) hasStarted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// close stops the comments and limits the time for the rest of the response.
func (s *eventStream) close() {
	s.timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
}

func (s *eventStream) comment() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed && s.write(": ", []byte("waiting")) == nil {
		s.timer.Reset(commentInterval)
	}
}

func (s *eventStream) write(prefix string, content []byte) error {
	if s.err != nil {
		return s.err
	}
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
	}
	s.timer.Reset(commentInterval)
	s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	event := append(append([]byte(prefix), content...), "\n\n"...)
	_, s.err = s.w.Write(event)
	if s.err == nil {
		s.err = s.control.Flush()
	}
	if s.err != nil {
		s.cancel(context.Canceled)
	}
	return s.err
}
