package member

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// NewID returns the ID of a new process of the named instance. The random suffix makes a restarted process a new
// member, so that no state of its predecessor is taken for its own.
func NewID(instance string) string {
	var suffix [4]byte
	rand.Read(suffix[:])
	return instance + "-" + hex.EncodeToString(suffix[:])
}

// beatHash is the upper 24 bits that stand for a member in a list of beats.
func beatHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) &^ 0xff }

// rendezvous returns the member with the highest hash for a key, or "" without members.
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
