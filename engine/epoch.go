package engine

import "github.com/cespare/xxhash/v2"

// EpochHash condenses an engine's start epoch for records between instances. It is 0 only for an unknown epoch.
func EpochHash(epoch string) uint64 {
	if epoch == "" {
		return 0
	}
	return max(xxhash.Sum64String(epoch), 1)
}
