package resume

import "github.com/cockroachdb/errors"

// ErrUnknownOrigin means that a stream may have begun at one of several software versions, and that nobody who was asked
// knows at which.
var ErrUnknownOrigin = errors.New("resume: the stream began at an unknown software version")

// ErrNotRecorded means that a stream must not begin at a software version, because neither the store nor another instance could
// be told of it.
var ErrNotRecorded = errors.New("resume: the software version is not recorded")
