package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/memory"
	"rhubarbpoint/relay"
)

// responseRoomTime is how long a response that is read from a replica waits for room. It is less than the time after
// which replicas cut off a response that remains unread.
const responseRoomTime = 1500 * time.Millisecond

// holdResponse returns a function that makes the account hold so many bytes of the response that is being read.
func (x *routedExchange) holdResponse(ctx context.Context) func(int) error {
	held := 0
	return func(total int) error {
		more := total - held
		if more > 0 {
			if err := x.holding.Wait(ctx, memory.Response, int64(more), responseRoomTime); err != nil {
				if ctx.Err() != nil {
					err = errors.Mark(err, relay.ErrRequestEnded)
				}
				return err
			}
		} else {
			x.holding.Add(int64(more))
		}
		held = total
		return nil
	}
}

// keep makes the account hold a response that was read completely, in place of an earlier one.
func (x *routedExchange) keep(body []byte) {
	x.holding.Add(int64(len(body)) - x.responseHeld)
	x.responseHeld = int64(len(body))
}

// releaseRequestBody drops the body of the request when no further attempt will be made, so that it is not held while a
// slow caller takes the response.
func (x *routedExchange) releaseRequestBody() {
	x.holding.Add(-int64(cap(x.call.Body)))
	x.call.Body = nil
}

// callerFailed ends the request when a write of the outbox has failed, so that its attempt at the replica is cancelled.
func (x *routedExchange) callerFailed(err error) {
	if _, _, ended := x.holding.Ended(); ended {
		err = errSlowCaller
	}
	x.end(err)
}
