package entry

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/relay"
)

const (
	streamReadBytes = 16 << 10
	// maxEventBytes bounds an event, which is passed on only when it is whole.
	maxEventBytes = 1 << 20
)

// errCallerWrite is a caller that takes no more of its answer.
var errCallerWrite = errors.New("entry: caller does not take its answer")

// stream passes on the events of an answer, each when it is whole. After a broken attempt the next one continues behind
// the last event, in the same answer.
func (x *routedExchange) stream(ex *relay.Exchange) error {
	var pending []byte
	piece := make([]byte, streamReadBytes)
	for {
		n, err := ex.Read(piece)
		pending = append(pending, piece[:n]...)
		rest, writeErr := x.events(ex, pending)
		pending = append(pending[:0], rest...)
		switch {
		case writeErr != nil:
			return writeErr
		case err == io.EOF && len(pending) == 0:
			x.begin(ex)
			return nil
		case err == io.EOF:
			return errors.Mark(errors.New("entry: stream ended inside an event"), relay.ErrIncompleteResponse)
		case err != nil:
			return err
		case len(pending) > maxEventBytes:
			return errors.Mark(errors.New("entry: event too large"), relay.ErrIncompleteResponse)
		}
	}
}

// events writes the whole events at the beginning of data that the caller does not have yet, and returns the rest.
func (x *routedExchange) events(ex *relay.Exchange, data []byte) (rest []byte, err error) {
	var fresh []byte
	for {
		end := bytes.Index(data, eventEnd)
		if end < 0 {
			break
		}
		event := data[:end+len(eventEnd)]
		data = data[end+len(eventEnd):]
		id, found := eventID(event)
		if found && id <= x.last {
			continue // a repeat of what the caller has
		}
		if found {
			x.last = id
		}
		fresh = append(fresh, event...)
	}
	if len(fresh) == 0 {
		return data, nil
	}
	x.begin(ex)
	return data, x.write(fresh)
}

// begin writes the head of the answer, unless an earlier attempt did. Until then the request can still fail with a status
// of its own, which must not bear a replica's header.
func (x *routedExchange) begin(ex *relay.Exchange) {
	if x.begun {
		return
	}
	x.begun, x.first = true, time.Now()
	x.server.metrics.firstToken.Update(x.first.Sub(x.call.Arrived).Milliseconds())
	x.copyHeader(ex.Header())
	x.w.WriteHeader(http.StatusOK)
}

func (x *routedExchange) write(data []byte) error {
	x.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := x.w.Write(data)
	if err == nil {
		err = x.control.Flush()
	}
	if err != nil {
		return errors.Mark(errors.Wrap(err, "entry: write to the caller"), errCallerWrite)
	}
	return nil
}
