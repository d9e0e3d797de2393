// Package claim executes orders at most once. An order is a non-idempotent request to a service. Before an order is
// sent, its idempotency key is claimed in the store by compare-and-swap; only the process whose claim is confirmed
// sends the order.
//
// Keys are hashed into partitions. Within a partition, a slot of the store holds the claim records of all keys whose
// timestamps fall into one minute. The instances send their records to one writer for each partition, which batches
// them into few store writes. Safety does not depend on there being a single writer: each write is a compare-and-swap
// of a whole slot, a slot's minute never decreases, and a key belongs to exactly one minute, so two claims of one key
// cannot both be confirmed, whichever instances write them and whatever their clocks show.
//
// A process may pause between the confirmation of its claim and the sending of the order without breaking the
// guarantee: the claim stays in the store, no process sends an order that another one has claimed, and no other process
// may report the order as not run.
//
// An attempt, in this package, is what one process does for a key: it claims the key, sends the order and retains the
// result for duplicate requests.
//
// Within the process, the lock order is committer, then partition; the attempts table is never locked together with
// either of them. No lock is held during a store call, a peer call or a SendFunc.
package claim

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrNotSent marks an error of a SendFunc that has sent no byte to any upstream and will not send any later.
var ErrNotSent = errors.New("claim: order not sent")

// Fingerprint is a digest of an order's content. It detects the reuse of a key for another order.
type Fingerprint [8]byte

// Response is the response of the upstream to an order. It is shared by the duplicate requests and must not be changed.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// SendFunc sends an order to one upstream and returns the complete response. It is called at most once for each key.
// Its context ends at the caller's deadline but not when the caller disconnects, so that the outcome can be recorded.
type SendFunc func(ctx context.Context) (*Response, error)

// Runner executes orders at most once. Implementations are safe for concurrent use.
type Runner interface {
	// Run claims the key, a UUIDv7 in text form, and calls send if this process obtains the claim. For a duplicate
	// request it returns the response to the first one. All errors are of type *Error.
	Run(ctx context.Context, key string, fingerprint Fingerprint, send SendFunc) (*Response, error)
}
