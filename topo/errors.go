package topo

import "github.com/cockroachdb/errors"

// Errors of calls to the platform, for use with errors.Is.
var (
	ErrNotFound      = errors.New("topo: key not found")
	ErrConflict      = errors.New("topo: revision conflict")
	ErrLeaseNotFound = errors.New("topo: lease not found")
	ErrTooLarge      = errors.New("topo: value too large")
	ErrRateLimited   = errors.New("topo: rate limit exceeded")
	// ErrCompacted means that the store has discarded history that a watch would have to return.
	ErrCompacted = errors.New("topo: history discarded")
	// ErrRestored means that the store was restored from an older copy since the revision of a watch, or since a lease was last
	// known. What it has now is not what it had then plus changes, so it must be read again.
	ErrRestored = errors.New("topo: store restored from an older copy")
	// ErrTooManyChanges means that the changes that a watch would have to return are too large for a response. The entries
	// must be read instead.
	ErrTooManyChanges = errors.New("topo: too many changes for a watch")
	// ErrUnavailable means that the call was certainly not executed.
	ErrUnavailable = errors.New("topo: platform unavailable")
	// ErrAmbiguous means that a write may have taken effect, or may still do so.
	ErrAmbiguous = errors.New("topo: outcome of write unknown")
)
