// Package peer carries calls between entry instances: yamux sessions over TCP, one stream for each call, messages in
// protobuf. It knows nothing of what the calls mean; packages register a handler for each kind of call.
package peer

import (
	"context"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/peer/peerpb"
)

// Errors of calls, to be tested with errors.Is.
var (
	// ErrNotSent means that the peer certainly did not get the call.
	ErrNotSent = errors.New("peer: call not sent")
	// ErrNoResponse means that the peer may have executed the call.
	ErrNoResponse = errors.New("peer: no answer")
	// ErrUnknownInstance means that no address is known for the instance.
	ErrUnknownInstance = errors.New("peer: unknown instance")
)

// Client calls other instances. Implementations are safe for concurrent use.
type Client interface {
	// Call sends a request to an instance and waits for the answer. An Error message from the peer comes as a
	// *RemoteError.
	Call(ctx context.Context, instance string, req *peerpb.Request) (*peerpb.Response, error)
}

// Handler answers calls of one kind. It is called concurrently.
type Handler func(ctx context.Context, from string, req *peerpb.Request) (*peerpb.Response, error)
