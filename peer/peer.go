// Package peer is the RPC transport between entry instances. It sends protobuf messages over yamux sessions on TCP,
// with one stream for each call. It does not interpret the calls; other packages register a handler for each kind of
// call.
package peer

import (
	"context"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/peer/peerpb"
)

// Errors of calls, to be tested with errors.Is.
var (
	// ErrNotSent means that the peer did not execute the call: it was not sent, or the peer's transport refused it.
	ErrNotSent = errors.New("peer: call not sent")
	// ErrNoResponse means that no response arrived. The peer may have executed the call.
	ErrNoResponse = errors.New("peer: no response")
	// ErrUnknownInstance means that no address is known for the instance.
	ErrUnknownInstance = errors.New("peer: unknown instance")
)

// Client calls other instances. Implementations are safe for concurrent use.
type Client interface {
	// Call sends a request to an instance and waits for the response. An Error message of the peer is returned as a
	// *RemoteError.
	Call(ctx context.Context, instance string, req *peerpb.Request) (*peerpb.Response, error)
}

// Handler serves calls of one kind, concurrently; from is the ID of the calling instance. A nil response without an
// error is sent as Empty.
type Handler func(ctx context.Context, from string, req *peerpb.Request) (*peerpb.Response, error)
