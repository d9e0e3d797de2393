// Package engine defines the interface to the LLM engines. The packages that make decisions depend on this package
// only; httpengine is the adapter for one wire format, so that another format needs no change elsewhere.
package engine

import "context"

// Client talks to engines by address. Implementations are safe for concurrent use.
type Client interface {
	// Generate starts a request. It returns ErrNotSent when no byte reached the engine, ErrDraining or ErrOverloaded
	// when the engine refused it, ErrUnknownModel when the model or version is not loaded, or ErrConnectionBroken.
	Generate(ctx context.Context, addr string, req *Request) (Stream, error)
	// Cancel ends an attempt of a request. Cancelling an unknown request is not an error.
	Cancel(ctx context.Context, addr, requestID, attempt string) error
	// Load returns the engine's load report, which lags behind its true state.
	Load(ctx context.Context, addr string) (*LoadReport, error)
	// CacheEvents returns prefix cache events after a sequence number. Events come late and some are lost.
	CacheEvents(ctx context.Context, addr string, after uint64) (*CacheEvents, error)
	// State returns the engine's role, models and last applied order.
	State(ctx context.Context, addr string) (*State, error)
	// Order sends an order. It returns ErrStaleFence when the engine checks fencing tokens and has seen a higher one,
	// ErrBusy while another order runs, ErrNotSent, or ErrConnectionBroken when the outcome is unknown.
	Order(ctx context.Context, addr string, order *Order) (*OrderResult, error)
	// ExportKV makes the KV cache of a request's prompt available to another engine.
	ExportKV(ctx context.Context, addr, requestID string) (*KVHandle, error)
	// ImportKV fetches exported KV cache into an engine.
	ImportKV(ctx context.Context, addr string, handle *KVHandle) error
}

// Stream delivers the frames of one attempt. Only one goroutine at a time may use it, except for Close.
type Stream interface {
	// Recv returns the next frame. It returns io.EOF when the engine closed the stream, with or without an end frame,
	// ErrCorrupt for an unreadable frame, and ErrIdleTimeout when no frame arrived within the idle timeout.
	Recv() (*Frame, error)
	// Close cancels the rest of the stream and closes the connection if part of the response is unread.
	Close() error
}
