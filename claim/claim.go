// Package claim runs non-idempotent orders at most once. Before an order is sent, its idempotency key is claimed in the
// store by compare-and-swap; only the process whose claim is confirmed sends the order.
package claim

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrNotSent marks an error of a SendFunc that wrote no byte to any upstream and never will.
var ErrNotSent = errors.New("claim: order not sent")

// Fingerprint identifies the content of an order, so that a key cannot be used for two orders.
type Fingerprint [8]byte

// Answer is what the upstream answered to an order.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// SendFunc sends an order to one upstream and returns its whole answer. It is called at most once for each key.
type SendFunc func(ctx context.Context) (*Answer, error)

// Runner runs orders at most once. Implementations are safe for concurrent use.
type Runner interface {
	// Run claims the key, a UUIDv7 in text form, and calls send if this process holds the claim. For a repeat it
	// returns the first run's answer. All errors are of type *Error.
	Run(ctx context.Context, key string, fingerprint Fingerprint, send SendFunc) (*Answer, error)
}
