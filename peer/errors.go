package peer

import "github.com/cockroachdb/errors"

// Errors of frames and of Serve, to be tested with errors.Is.
var (
	// ErrTooLarge means that a message is longer than MaxFrameBytes.
	ErrTooLarge = errors.New("peer: frame too large")
	// ErrCorrupt means that a frame could not be decoded.
	ErrCorrupt = errors.New("peer: corrupt frame")
	// ErrTruncated means that the stream ended within a frame.
	ErrTruncated = errors.New("peer: truncated frame")
	// ErrClosed means that the transport was shut down.
	ErrClosed = errors.New("peer: transport closed")
)

// Codes of remote errors. The codes that begin with "peer_" come from the transport of the peer; a call that fails with
// one of them was not executed. A handler's error that is not a *RemoteError gets CodeInternal.
const (
	CodeInternal         = "internal"
	CodeResponseTooLarge = "answer_too_large"
	CodeBadFrame         = "peer_bad_frame"
	CodeFrameTooLarge    = "peer_frame_too_large"
	CodeWrongInstance    = "peer_wrong_instance"
	CodeOverloaded       = "peer_overloaded"
	CodeUnknownCall      = "peer_unknown_call"
)

// transportCodePrefix is reserved for codes of the transport.
const transportCodePrefix = "peer_"
