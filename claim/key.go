package claim

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

const (
	// partitionCount and slotsPerPartition bound the number of values that the store holds for claims: 32 × 16.
	partitionCount    = 32
	slotsPerPartition = 16
	// Keys are accepted from windowBack in the past to windowAhead in the future. The window touches at most 12 minutes,
	// so a ring of 16 slots tolerates 4 minutes of clock skew before a slot is reused whose keys are still accepted.
	windowBack  = 10 * time.Minute
	windowAhead = 1 * time.Minute

	uuidVersion = 7
)

var errInvalidKey = errors.New("claim: key is not a UUIDv7")

// key is an idempotency key.
type key [16]byte

func parseKey(text string) (key, error) {
	id, err := uuid.Parse(text)
	if err != nil {
		return key{}, errors.Mark(err, errInvalidKey)
	}
	if id.Version() != uuidVersion || id.Variant() != uuid.RFC4122 {
		return key{}, errInvalidKey
	}
	return key(id), nil
}

// keyFromBytes parses a key received from a peer.
func keyFromBytes(data []byte) (key, error) {
	id, err := uuid.FromBytes(data)
	if err != nil || id.Version() != uuidVersion {
		return key{}, errInvalidKey
	}
	return key(id), nil
}

// unixMilli returns the key's timestamp, its first 48 bits, in milliseconds since the Unix epoch.
func (k key) unixMilli() int64 {
	return int64(binary.BigEndian.Uint64(k[:8]) >> 16)
}

// minute returns the number of minutes from the Unix epoch to the key's timestamp.
func (k key) minute() int64 { return k.unixMilli() / time.Minute.Milliseconds() }

// inWindow reports whether the key is accepted at a time.
func (k key) inWindow(now time.Time) bool {
	at := time.UnixMilli(k.unixMilli())
	return !at.Before(now.Add(-windowBack)) && !at.After(now.Add(windowAhead))
}

func (k key) partition() int { return int(xxhash.Sum64(k[:]) % partitionCount) }

// slotKey returns the store key of a slot.
func slotKey(partition int, slot int64) string {
	return "claims/" + strconv.Itoa(partition) + "/" + strconv.FormatInt(slot, 10)
}

// slotOf returns the number of the slot that holds a minute's records. The slots are reused as a ring.
func slotOf(minute int64) int64 { return minute % slotsPerPartition }
