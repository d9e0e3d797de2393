package controller

import (
	"context"

	"rhubarbpoint/engine"
)

// Applier carries orders to engines with the authority of the region. Implementations are safe for concurrent use.
type Applier interface {
	// Apply sends an order and returns when the engine has accepted it, or an error.
	Apply(ctx context.Context, engineID string, order *engine.Order) error
	// HoldsAuthority says whether this process holds the authority.
	HoldsAuthority() bool
}
