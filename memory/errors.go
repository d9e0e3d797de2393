package memory

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNoRoom means that the bytes cannot be held. Test for it with errors.Is.
	ErrNoRoom = errors.New("memory: no room")
	// ErrEnded means that the caller was ended because it made no progress while others needed its room.
	ErrEnded = errors.New("memory: caller makes no progress")
)

// FullError is an ErrNoRoom because too much is held at the moment.
type FullError struct {
	// Wanted bytes did not fit beside Held bytes. Missing is by how much.
	Wanted, Held, Missing int64
	// RoomIn is the expected time until they do.
	RoomIn time.Duration
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("memory: no room for %d bytes beside %d", e.Wanted, e.Held)
}

// Is makes errors.Is match ErrNoRoom.
func (e *FullError) Is(target error) bool { return target == ErrNoRoom }
