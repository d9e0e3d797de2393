package member

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// NewID returns the ID of a new process of the named instance. The random suffix makes a restarted process a new
// member, so that state of its predecessor is not attributed to it.
func NewID(instance string) string {
	var suffix [4]byte
	rand.Read(suffix[:])
	return instance + "-" + hex.EncodeToString(suffix[:])
}

// beatHash returns the hash that identifies a member in a list of beats. Its lower 8 bits are 0; in the list, they hold
// the lower 8 bits of the beat.
func beatHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) &^ 0xff }

// rendezvous returns the member to which rendezvous hashing assigns a key, or "" if there are no members.
func rendezvous(key string, ids []string) string {
	best, bestHash := "", uint64(0)
	for _, id := range ids {
		var d xxhash.Digest
		d.Reset()
		d.WriteString(key)
		d.WriteString("\x00")
		d.WriteString(id)
		if h := d.Sum64(); best == "" || h > bestHash || (h == bestHash && id < best) {
			best, bestHash = id, h
		}
	}
	return best
}
