// Package boottime reads the clock that counts the time since the machine was started, including the time for which it
// was suspended. Go's monotonic clock leaves that time out, and the wall clock can jump.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since a fixed moment before the start of the process. It never goes back.
type Clock func() time.Duration

// Now returns the time since the machine was started.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the clock exists in every supported kernel
	}
	return time.Duration(ts.Nano())
}

// Process returns a Clock that starts at 0 and follows time.Now. It is for tests in virtual time.
func Process() Clock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}
