// Package claim runs non-idempotent orders at most once. Before an order is sent, its idempotency key is claimed in the
// store by compare-and-swap; only the process whose claim is confirmed sends the order.
//
// Claims are grouped: the instances send them to one writer for each partition, which puts many records into one store
// write. The writer only saves writes. Each write is a compare-and-swap of a whole slot, a slot's minute never
// decreases, and a key belongs to exactly one minute, so two claims of one key cannot both be confirmed, whoever writes
// them and whatever the clocks show.
//
// A process that is paused between the confirmation of its claim and the sending of the order does no harm: the claim
// stays in the store, nobody else runs an order that another process has claimed, and no other process may report the
// order as not run.
//
// Within the process, the lock order is committer, then partition; the attempts table is never locked with them. No lock is held during a store call, a
// peer call or a SendFunc.
package claim

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrNotSent marks an error of a SendFunc that wrote no byte to any upstream and never will.
var ErrNotSent = errors.New("claim: order not sent")

// Fingerprint identifies the content of an order, so that a key cannot be used for two orders.
type Fingerprint [8]byte

// Response is what the upstream answered to an order. It is shared between repeats and must not be changed.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// SendFunc sends an order to one upstream and returns its whole answer. It is called at most once for each key. Its
// context ends at the caller's deadline but not when the caller hangs up, so that the outcome can be recorded.
type SendFunc func(ctx context.Context) (*Response, error)

// Runner runs orders at most once. Implementations are safe for concurrent use.
type Runner interface {
	// Run claims the key, a UUIDv7 in text form, and calls send if this process holds the claim. For a repeat it
	// returns the first run's answer. All errors are of type *Error.
	Run(ctx context.Context, key string, fingerprint Fingerprint, send SendFunc) (*Response, error)
}
