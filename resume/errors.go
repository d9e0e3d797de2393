package resume

import "github.com/cockroachdb/errors"

// ErrUnknownOrigin means that a stream may have begun at one of several software versions, and that nobody who was asked
// knows at which.
var ErrUnknownOrigin = errors.New("resume: the stream began at an unknown software version")
