package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/relay"
)

const (
	streamReadBytes = 16 << 10
	// maxEventBytes limits the size of an event, which is buffered until it is complete.
	maxEventBytes = 1 << 20
)

// errWriteToCaller marks the error of a write to the caller.
var errWriteToCaller = errors.New("entry: caller does not accept the response")

// forwardStream forwards the events of a response, each when it is complete. After a broken attempt, the next attempt
// continues after the last event, in the same response to the caller.
func (x *routedExchange) forwardStream(ctx context.Context, ex *relay.Exchange, attempt *relay.Attempt) error {
	slot := x.beginSlotTime(attempt.Cache != nil)
	defer slot.end()
	x.pace, x.answering = eventPace{}, attempt.Replica
	defer func() { x.routing.Balancer.RecordEvents(time.Now(), attempt.Replica, x.pace.events, x.pace.took()) }()
	var pending []byte
	buf := make([]byte, streamReadBytes)
	for {
		n, err := ex.Read(buf)
		slot.advance()
		if n > 0 {
			x.routing.Reach.RecordHeard()
			x.recordFirstEvent()
		}
		pending = append(pending, buf[:n]...)
		rest, writeErr := x.forwardEvents(ctx, ex, pending)
		pending = append(pending[:0], rest...)
		switch {
		case writeErr != nil:
			return writeErr
		case err == io.EOF && len(pending) == 0:
			if err := x.checkEnd(ctx, ex, attempt.Replica); err != nil {
				return err
			}
			return x.writeHeader(ctx, ex)
		case err == io.EOF:
			return errors.Mark(errors.New("entry: stream ended inside an event"), relay.ErrIncompleteResponse)
		case err != nil:
			return err
		case len(pending) > maxEventBytes:
			return errors.Mark(errors.Newf("entry: event is larger than %d bytes", maxEventBytes), relay.ErrIncompleteResponse)
		}
		if err := ex.Buffer(cap(pending)); err != nil {
			return err
		}
	}
}

// forwardEvents writes the complete events in data, except for those that the caller has already, and returns the
// incomplete rest.
func (x *routedExchange) forwardEvents(ctx context.Context, ex *relay.Exchange, data []byte) (rest []byte, err error) {
	var unseen []byte
	events, last, unnumbered := 0, x.lastEvent, x.unnumbered
	for {
		end := bytes.Index(data, eventSeparator)
		if end < 0 {
			break
		}
		event := data[:end+len(eventSeparator)]
		data = data[end+len(eventSeparator):]
		id, found := eventID(event)
		if found && id <= last {
			continue // the caller has it already
		}
		if found {
			last, unnumbered = id, false
			events++
		} else if hasData(event) {
			unnumbered = true
		}
		unseen = append(unseen, event...)
	}
	x.pace.record(time.Now(), events)
	if len(unseen) == 0 {
		return data, nil
	}
	if err := x.writeHeader(ctx, ex); err != nil {
		return data, err
	}
	x.lastEvent, x.unnumbered = last, unnumbered
	return data, x.write(ctx, unseen)
}

// writeHeader writes the header of the response, unless an earlier attempt did. Until then the request can still fail
// with its own status, and such a response must not carry a replica's header.
func (x *routedExchange) writeHeader(ctx context.Context, ex *relay.Exchange) error {
	if x.headerWritten {
		return nil
	}
	// Before the caller can have the event, as the stream can break off at any moment then.
	if err := x.recordOrigin(ctx); err != nil {
		return err
	}
	x.headerWritten, x.firstByteAt = true, time.Now()
	x.server.metrics.firstToken.Update(x.firstByteAt.Sub(x.call.Arrived).Milliseconds())
	x.recordFirstByte()
	x.copyHeader(ex.Header())
	x.w.WriteHeader(http.StatusOK)
	return nil
}

// write passes events on to the caller. Where memory has bounds, it returns once the outbox has taken them.
func (x *routedExchange) write(ctx context.Context, data []byte) error {
	if x.holding.Limited() {
		if x.outbox == nil {
			x.outbox = newOutbox(x.w, x.holding, x.server.opts.Memory.Bounds().Stream, x.callerFailed)
		}
		return x.outbox.add(ctx, data)
	}
	x.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := x.w.Write(data)
	if err == nil {
		err = x.control.Flush()
	}
	if err != nil {
		return errors.Mark(errors.Wrap(err, "entry: write to the caller"), errWriteToCaller)
	}
	return nil
}
