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
	// partitions and slots bound what the store holds for claims: 32 × 16 values.
	partitions = 32
	slots      = 16
	// windowBack and windowAhead span at most 12 minutes, so that a ring of 16 slots leaves 4 minutes for wrong clocks
	// before a live slot is replaced.
	windowBack  = 10 * time.Minute
	windowAhead = 1 * time.Minute

	uuidVersion = 7
)

var errInvalidKey = errors.New("claim: key is no UUIDv7")

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

// keyFromBytes checks a key that came from a peer.
func keyFromBytes(data []byte) (key, error) {
	id, err := uuid.FromBytes(data)
	if err != nil || id.Version() != uuidVersion {
		return key{}, errInvalidKey
	}
	return key(id), nil
}

// milli is the key's timestamp: the first 48 bits, in milliseconds since 1970.
func (k key) milli() int64 {
	return int64(binary.BigEndian.Uint64(k[:8]) >> 16)
}

func (k key) minute() int64 { return k.milli() / time.Minute.Milliseconds() }

func (k key) within(now time.Time) bool {
	at := time.UnixMilli(k.milli())
	return !at.Before(now.Add(-windowBack)) && !at.After(now.Add(windowAhead))
}

func (k key) partition() int { return int(xxhash.Sum64(k[:]) % partitions) }

// slotKey is the store key of a minute's slot.
func slotKey(partition int, slot int64) string {
	return "claims/" + strconv.Itoa(partition) + "/" + strconv.FormatInt(slot, 10)
}

func slotOf(minute int64) int64 { return minute % slots }
