package engine

import "github.com/cespare/xxhash/v2"

// EpochHash returns the hash of an engine's start epoch, for the records that instances exchange. It is 0 only for an
// unknown (empty) epoch.
func EpochHash(epoch string) uint64 {
	if epoch == "" {
		return 0
	}
	return max(xxhash.Sum64String(epoch), 1)
}
