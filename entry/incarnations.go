package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/relay"
	"rhubarbpoint/upstream"
)

// Incarnations asks replicas of engines when they started. Implementations are safe for concurrent use.
type Incarnations interface {
	// Born returns the start time of the process that answers at a replica's address, as in upstream.Replica, or 0 if it does
	// not say. An error means that nothing answered in a usable way.
	Born(ctx context.Context, replica *upstream.Replica) (int64, error)
	// Probe returns a request whose check fails if another process than the listed one answers it.
	Probe(replica *upstream.Replica) *relay.Probe
}

// incarnationTimeout bounds a call of Incarnations.Born.
const incarnationTimeout = 500 * time.Millisecond

// checkEnd returns an error if the end of a response may be a crash of the replica: the end of the connection delimits
// the response, and the replica has not certainly survived it. The kernel closes the connections of a killed process in
// order. A replica of an engine is asked; an answer of the same incarnation after the end is certain. Otherwise its address has to
// accept connections for some time.
func (x *routedExchange) checkEnd(ctx context.Context, ex *relay.Exchange, replica *upstream.Replica) error {
	if ex.Delimited() {
		return nil
	}
	ctx = context.WithoutCancel(ctx)
	if born, err := x.born(ctx, replica); err == nil {
		if born == 0 || replica.Born == 0 || born == replica.Born {
			return nil
		}
		return errors.Mark(errors.New("entry: replica has started again, perhaps after a response without length"), relay.ErrIncompleteResponse)
	}
	if x.routing.Pool.Survived(ctx, replica.Address) {
		return nil
	}
	return errors.Mark(errors.New("entry: replica may have ended, and with it a response without length"), relay.ErrIncompleteResponse)
}

// errNotAsked means that a replica cannot be asked for its start time.
var errNotAsked = errors.New("entry: replica is not asked for its start time")

func (x *routedExchange) born(ctx context.Context, replica *upstream.Replica) (int64, error) {
	if x.routing.Incarnations == nil || x.service.Engine == nil {
		return 0, errNotAsked
	}
	ctx, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	return x.routing.Incarnations.Born(ctx, replica)
}

// probe returns the probe of an attempt, or nil. A stream goes on only at the incarnation that is listed, since one that started later
// may have another software version. Until its entry arrives, only its own report tells.
func (x *routedExchange) probe(replica *upstream.Replica) *relay.Probe {
	if x.routing.Incarnations == nil || x.service.Engine == nil || !x.resumable() || x.lastEvent < 0 || replica.Born == 0 {
		return nil
	}
	return x.routing.Incarnations.Probe(replica)
}
