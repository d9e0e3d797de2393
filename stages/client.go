package stages

import (
	"context"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/upstream"
)

// Errors of orders. Test for them with errors.Is. After any other error the order may have been accepted, or may be
// accepted later.
var (
	// ErrRefused means that the replica did not accept the order.
	ErrRefused = errors.New("stages: order refused")
)

// Issuer identifies the holder that gives an order.
type Issuer struct {
	Holder string
	// Fence is the fencing token. It is higher than that of every earlier holder.
	Fence int64
}

// StageClient reads and changes the stages of replicas. Implementations are safe for concurrent use.
type StageClient interface {
	// Sequence returns the number of orders that the replica has accepted, and the stage that it has.
	Sequence(ctx context.Context, replica *upstream.Replica) (sequence int64, stage upstream.Stage, err error)
	// SetStage orders a replica to change its stage. The replica accepts the order only if sequence is the number of
	// orders that it has accepted before. It returns ErrRefused if the replica did not accept the order.
	SetStage(ctx context.Context, replica *upstream.Replica, stage upstream.Stage, by Issuer, sequence int64) error
}
