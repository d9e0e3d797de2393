package activity

import "time"

// windowOf returns the number of the window that contains a moment of true time.
func windowOf(at time.Time, length time.Duration) int64 {
	return at.UnixMilli() / length.Milliseconds()
}

// dropWindows removes the windows that are more than keep windows old, and those in the future, which an instance counts
// whose wall clock is ahead while it has no estimate of true time.
func dropWindows(usage map[int64]map[string]uint64, current, keep int64) {
	for window := range usage {
		if window < current-keep || window > current+1 {
			delete(usage, window)
		}
	}
}

// keptWindows returns the number of ended windows of the given length that must be kept to cover a duration.
func keptWindows(kept, length time.Duration) int64 {
	return int64((kept+length-1)/length) + 1
}
