package controller

import (
	"context"

	"rhubarbpoint/engine"
)

// Applier sends orders to engines with the authority of the region. Implementations are safe for concurrent use.
type Applier interface {
	// Apply sends an order and returns nil once the engine has accepted it.
	Apply(ctx context.Context, engineID string, order *engine.Order) error
	// HoldsAuthority reports whether this process holds the authority.
	HoldsAuthority() bool
}
