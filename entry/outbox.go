package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/memory"
	"rhubarbpoint/relay"
)

const (
	// outboxPieceBytes is about how much is written to the caller of a stream at a time. A caller that takes 2 KB/s
	// accepts a piece within memory.ProgressTime.
	outboxPieceBytes = 4 << 10
	// outboxRetry is how often a stream that finds no room in the account looks again.
	outboxRetry = 50 * time.Millisecond
)

// outbox holds the events of a stream that its caller has not accepted yet, and writes them. So a slow caller does not
// keep the instance from reading the response, which the replica would cut off when it remains unread for some seconds.
// The outbox takes what the account allows for a stream. When it is full, add waits, and with it the reading.
type outbox struct {
	w       http.ResponseWriter
	control *http.ResponseController
	holding *memory.Holding
	limit   int64
	// failed is called when a write to the caller fails.
	failed func(error)
	// wake tells the writer of new events, or of the end; taken tells add that a piece was written. Both have capacity 1.
	wake, taken chan struct{}
	// done is closed when the writer has ended.
	done chan struct{}

	mu sync.Mutex
	// events are in the order in which they are written; bytes is their size with that of the piece being written.
	events [][]byte
	bytes  int64
	closed bool
	err    error
}

// newOutbox returns an outbox and starts its writer. finish must be called.
func newOutbox(w http.ResponseWriter, holding *memory.Holding, limit int64, failed func(error)) *outbox {
	o := &outbox{
		w: w, control: http.NewResponseController(w), holding: holding, limit: limit, failed: failed,
		wake: make(chan struct{}, 1), taken: make(chan struct{}, 1), done: make(chan struct{}),
	}
	holding.OnEnd(o.interrupt)
	go o.run()
	return o
}

// add takes events, which must not be changed afterwards. It waits while there is no room. What the instance has read
// already is always taken if nothing else waits, so the stream of a fast caller never waits for the account.
func (o *outbox) add(ctx context.Context, events []byte) error {
	size := int64(len(events))
	for {
		added, err := o.tryAdd(events, size)
		if added || err != nil {
			return err
		}
		select {
		case <-o.taken:
		case <-time.After(outboxRetry):
		case <-ctx.Done():
			return errors.Mark(context.Cause(ctx), relay.ErrRequestEnded)
		}
	}
}

func (o *outbox) tryAdd(events []byte, size int64) (bool, error) {
	o.mu.Lock()
	held, err := o.bytes, o.err
	o.mu.Unlock()
	switch {
	case err != nil:
		return false, err
	case held == 0:
		o.holding.Add(size)
	case held+size > o.limit, o.holding.Reserve(memory.Response, size) != nil:
		return false, nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		o.holding.Add(-size)
		return false, o.err
	}
	o.events = append(o.events, events)
	o.bytes += size
	notify(o.wake)
	return true, nil
}

// finish waits until the caller has accepted everything, or ctx ends. It returns the error of the caller.
func (o *outbox) finish(ctx context.Context) error {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	notify(o.wake)
	select {
	case <-o.done:
	case <-ctx.Done():
		o.setError(errors.Mark(context.Cause(ctx), errWriteToCaller))
		o.interrupt()
		<-o.done
	}
	o.holding.OnEnd(nil)
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err
}

// errOutboxStopped is the error of events that are not written because their request has ended before finish.
var errOutboxStopped = errors.New("entry: request ended before its events were written")

// stop ends the writer at once unless finish has ended it, so that nothing is written once the handler has returned.
func (o *outbox) stop() {
	select {
	case <-o.done:
		return
	default:
	}
	o.setError(errors.Mark(errOutboxStopped, errWriteToCaller))
	notify(o.wake)
	o.interrupt()
	<-o.done
	o.holding.OnEnd(nil)
}

// interrupt makes the write to the caller fail.
func (o *outbox) interrupt() { o.control.SetWriteDeadline(time.Now()) }

func (o *outbox) run() {
	defer close(o.done)
	for {
		piece, size, more := o.next()
		if size == 0 && !more {
			return
		}
		if size == 0 {
			<-o.wake
			continue
		}
		err := o.write(piece)
		o.holding.Add(-size)
		o.mu.Lock()
		o.bytes -= size
		o.mu.Unlock()
		if err != nil {
			err = errors.Mark(errors.Wrap(err, "entry: write to the caller"), errWriteToCaller)
			o.setError(err)
			o.failed(err)
		}
		notify(o.taken)
	}
}

// next takes events of about outboxPieceBytes, or drops all events after an error. more is false at the end.
func (o *outbox) next() (piece [][]byte, size int64, more bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		o.holding.Add(-o.bytes)
		o.events, o.bytes = nil, 0
		return nil, 0, false
	}
	for len(o.events) > 0 && size < outboxPieceBytes {
		first := o.events[0]
		n := min(len(first), outboxPieceBytes-int(size))
		piece, size = append(piece, first[:n]), size+int64(n)
		if o.events[0] = first[n:]; n == len(first) {
			o.events[0], o.events = nil, o.events[1:]
		}
	}
	return piece, size, !o.closed
}

// write writes and flushes one piece within writeTimeout.
func (o *outbox) write(piece [][]byte) error {
	o.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	// After the deadline was set: an interruption that comes earlier is seen here, a later one sets another deadline.
	if err := o.error(); err != nil {
		return err
	}
	if err := o.holding.WaitForCaller(); err != nil {
		return err
	}
	defer o.holding.CallerDone()
	for _, part := range piece {
		if _, err := o.w.Write(part); err != nil {
			return err
		}
	}
	return o.control.Flush()
}

func (o *outbox) error() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err
}

func (o *outbox) setError(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil {
		o.err = err
	}
}

// notify sends on a channel of capacity 1 unless a message is waiting.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
