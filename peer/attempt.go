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

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// States of an attempt. Both the attempt and its caller try to change statePending; the first decides whether the frame
// is written.
const (
	statePending int32 = iota
	stateWriting
	stateAbandoned
)

// attempt is one send of a call on one session. It runs in its own goroutine, because yamux can block while it opens a
// stream or writes, regardless of the caller's context.
type attempt struct {
	session      *session
	frame        []byte
	memoryBudget *semaphore.Weighted
	deadline     time.Time
	// keep leaves the stream open after a response that is no error.
	keep bool

	state  atomic.Int32
	stream *yamux.Stream // set before the state changes to stateWriting
	done   chan struct{}
	resp   *peerpb.Response
	err    error
}

// roundTrip writes a frame to a new stream and reads the response. Its errors are marked ErrNotSent or ErrNoResponse.
func roundTrip(
	ctx context.Context, s *session, frame []byte, memoryBudget *semaphore.Weighted,
) (*peerpb.Response, error) {
	return newAttempt(ctx, s, frame, memoryBudget).roundTrip(ctx)
}

func newAttempt(ctx context.Context, s *session, frame []byte, memoryBudget *semaphore.Weighted) *attempt {
	deadline, _ := ctx.Deadline()
	return &attempt{session: s, frame: frame, memoryBudget: memoryBudget, deadline: deadline, done: make(chan struct{})}
}

func (a *attempt) roundTrip(ctx context.Context) (*peerpb.Response, error) {
	s := a.session
	select {
	case s.outboundSlots <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Mark(ctx.Err(), ErrNotSent)
	case <-s.mux.CloseChan():
		return nil, errors.Mark(yamux.ErrSessionShutdown, ErrNotSent)
	}
	s.beginCall()
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

// run opens a stream, writes the frame and reads the response. It closes done at its end.
func (a *attempt) run() {
	defer func() {
		a.session.endCall()
		<-a.session.outboundSlots
		close(a.done)
	}()
	stream, err := a.session.mux.OpenStream()
	if err != nil {
		a.err = errors.Mark(err, ErrNotSent)
		return
	}
	kept := false
	defer func() {
		if !kept {
			stream.Close()
		}
	}()
	stream.SetDeadline(a.deadline)
	a.stream = stream
	if !a.state.CompareAndSwap(statePending, stateWriting) {
		return
	}
	if n, err := stream.Write(a.frame); err != nil {
		a.err = errors.Mark(err, classifyWriteError(n, err))
		return
	}
	r := readerPool.Get().(*bufio.Reader)
	r.Reset(stream)
	defer func() {
		r.Reset(nil)
		readerPool.Put(r)
	}()
	ctx, cancel := context.WithDeadline(a.session.ctx, a.deadline)
	defer cancel()
	resp := &peerpb.Response{}
	if err := readFrame(ctx, r, a.memoryBudget, resp); err != nil {
		a.err = errors.Mark(err, ErrNoResponse)
		return
	}
	if kept = a.keep && resp.GetError() == nil; kept && r.Buffered() > 0 {
		kept = false
		a.err = errors.Mark(errors.Wrap(ErrCorrupt, "bytes after the response"), ErrNoResponse)
		return
	}
	a.resp = resp
}

// classifyWriteError returns ErrNotSent or ErrNoResponse for a write that failed after n bytes. If the stream was
// closed before the first byte, or the write timed out while the peer's window was full, the peer does not get the
// whole frame. After any other error, the data may still be in the queue of the session and reach the peer later.
func classifyWriteError(n int, err error) error {
	closed := errors.Is(err, yamux.ErrStreamClosed) || errors.Is(err, yamux.ErrConnectionReset)
	if (n == 0 && closed) || errors.Is(err, yamux.ErrTimeout) {
		return ErrNotSent
	}
	return ErrNoResponse
}
