package peer

import (
	"bufio"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"golang.org/x/sync/semaphore"

	"rhubarbpoint/peer/peerpb"
)

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// States of an attempt. Whoever leaves statePending first decides whether the frame is ever written.
const (
	statePending int32 = iota
	stateWriting
	stateAbandoned
)

// attempt is one call on one session. It runs in a goroutine of its own, because yamux can block in the opening of a
// stream and in a write without regard to the caller's context.
type attempt struct {
	session *session
	frame   []byte
	budget  *semaphore.Weighted
	until   time.Time

	state  atomic.Int32
	stream *yamux.Stream // set before the state is stateWriting
	done   chan struct{}
	resp   *peerpb.Response
	err    error
}

// exchange writes a frame to a new stream and reads the answer. Its errors are marked ErrNotSent or ErrNoAnswer.
func exchange(ctx context.Context, s *session, frame []byte, budget *semaphore.Weighted) (*peerpb.Response, error) {
	until, _ := ctx.Deadline()
	a := &attempt{session: s, frame: frame, budget: budget, until: until, done: make(chan struct{})}
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Mark(ctx.Err(), ErrNotSent)
	case <-s.mux.CloseChan():
		return nil, errors.Mark(yamux.ErrSessionShutdown, ErrNotSent)
	}
	s.begin()
	go a.run()
	select {
	case <-a.done:
		return a.resp, a.err
	case <-ctx.Done():
	}
	if a.state.CompareAndSwap(statePending, stateAbandoned) {
		return nil, errors.Mark(ctx.Err(), ErrNotSent)
	}
	a.stream.SetDeadline(time.Now())
	return nil, errors.Mark(ctx.Err(), ErrNoResponse)
}

func (a *attempt) run() {
	defer func() {
		a.session.end()
		<-a.session.slots
		close(a.done)
	}()
	stream, err := a.session.mux.OpenStream()
	if err != nil {
		a.err = errors.Mark(err, ErrNotSent)
		return
	}
	defer stream.Close()
	stream.SetDeadline(a.until)
	a.stream = stream
	if !a.state.CompareAndSwap(statePending, stateWriting) {
		return
	}
	if n, err := stream.Write(a.frame); err != nil {
		a.err = errors.Mark(err, writeOutcome(n, err))
		return
	}
	r := readers.Get().(*bufio.Reader)
	r.Reset(stream)
	defer func() {
		r.Reset(nil)
		readers.Put(r)
	}()
	ctx, cancel := context.WithDeadline(a.session.ctx, a.until)
	defer cancel()
	resp := &peerpb.Response{}
	if err := readFrame(ctx, r, a.budget, resp); err != nil {
		a.err = errors.Mark(err, ErrNoResponse)
		return
	}
	a.resp = resp
}

// writeOutcome says what a failed write means. A stream that was closed before the first byte, and a time-out while the
// window of the peer was full, leave the frame incomplete. After any other error the data may still be in the queue of
// the session and reach the peer later.
func writeOutcome(n int, err error) error {
	refused := errors.Is(err, yamux.ErrStreamClosed) || errors.Is(err, yamux.ErrConnectionReset)
	if (n == 0 && refused) || errors.Is(err, yamux.ErrTimeout) {
		return ErrNotSent
	}
	return ErrNoResponse
}
