package stream

import "github.com/cockroachdb/errors"

// Errors of Assembler.Add, to be tested with errors.Is.
var (
	ErrForeignFrame = errors.New("stream: frame of another request or attempt")
	ErrWrongVersion = errors.New("stream: frame of another model version")
	ErrGap          = errors.New("stream: token missing")
	ErrTokenChanged = errors.New("stream: token repeated with another text")
	ErrTooLong      = errors.New("stream: more tokens than the request allows")
	ErrBadTotal     = errors.New("stream: wrong token total in end frame")
	ErrAfterEnd     = errors.New("stream: frame after the end frame")
)
