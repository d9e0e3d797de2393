package daemon

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"rhubarbpoint/discovery"
	"rhubarbpoint/internal/gzipbytes"
	"rhubarbpoint/member"
	"rhubarbpoint/peer"
	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/topo"
)

const (
	// followersPerZone is the number of instances of a zone that follow the store for the others. One more than two, so
	// that a restart of one during a failure of another leaves one.
	followersPerZone = 3
	// minGzipBytes is the size from which a value is compressed: routes, but not the entry of one replica.
	minGzipBytes = 4 << 10
	// maxConfirmedMillis bounds what a peer may state, so that the sum with an instant cannot overflow.
	maxConfirmedMillis = int64(30 * 24 * time.Hour / time.Millisecond)
	// codeNotFollowing is the error code of an instance that has no changes to pass on.
	codeNotFollowing = "not_following"
)

// storeRelay lets a few instances of each zone follow the store for the others. It implements discovery.Relay and serves
// the peers. It is safe for concurrent use.
type storeRelay struct {
	region, zone string
	transport    *peer.Transport
	member       *member.Service
	watcher      *discovery.Watcher

	mu sync.Mutex
	// compressed is the large value that was sent last: every peer gets the same one.
	compressed compressedValue
}

// compressedValue is the compressed value of a key at a revision.
type compressedValue struct {
	key      string
	revision int64
	gzip     []byte
}

var _ discovery.Relay = (*storeRelay)(nil)

// Sources implements discovery.Relay. The sources are the live members of the zone that rendezvous hashing selects. Each
// instance has an order of its own, so that the sources have equal shares.
func (r *storeRelay) Sources() []string {
	self := r.member.Self()
	var zone []string
	for _, m := range r.member.Live() {
		if m.GetRegion() == r.region && m.GetZone() == r.zone && (m.GetId() == self || !r.member.Suspected(m.GetId())) {
			zone = append(zone, m.GetId())
		}
	}
	sources := highestHashes(zone, "follow", followersPerZone)
	if len(zone) <= followersPerZone || slices.Contains(sources, self) {
		return nil
	}
	return highestHashes(sources, self, len(sources))
}

// Others implements discovery.Relay. They are the instances that Sources selects for the others of the zone.
func (r *storeRelay) Others() []string {
	self := r.member.Self()
	var zone []string
	for _, m := range r.member.Live() {
		if m.GetRegion() == r.region && m.GetZone() == r.zone && m.GetId() != self && !r.member.Suspected(m.GetId()) {
			zone = append(zone, m.GetId())
		}
	}
	sources := highestHashes(zone, "follow", followersPerZone-1)
	return highestHashes(sources, self, len(sources))
}

// followsStore reports whether this instance follows the store itself.
func (r *storeRelay) followsStore() bool { return len(r.Sources()) == 0 }

// highestHashes returns the count instances with the highest hashes for a purpose, highest first.
func highestHashes(ids []string, purpose string, count int) []string {
	hash := func(id string) uint64 { return xxhash.Sum64String(purpose + "/" + id) }
	ids = slices.SortedFunc(slices.Values(ids), func(a, b string) int { return cmp.Compare(hash(b), hash(a)) })
	return ids[:min(count, len(ids))]
}

// Changes implements discovery.Relay.
func (r *storeRelay) Changes(ctx context.Context, source string, ask discovery.Ask) (*discovery.Changes, error) {
	resp, err := r.transport.Call(ctx, source, &peerpb.Request{Call: &peerpb.Request_WatchStore{
		WatchStore: &peerpb.WatchStore{After: ask.After, WaitMillis: uint32(ask.Wait.Milliseconds()), KnownAgeMillis: uint32(ask.KnownAge.Milliseconds())},
	}})
	if err != nil {
		return nil, errors.Wrap(err, "daemon: changes from a peer")
	}
	return decodeChanges(resp.GetStoreChanges())
}

// decodeChanges fails if one entry cannot be decoded: without it, the others would leave a gap.
func decodeChanges(message *peerpb.StoreChanges) (*discovery.Changes, error) {
	if message == nil {
		return nil, errors.New("daemon: a peer's response has no changes")
	}
	changes := &discovery.Changes{
		Revision: message.GetRevision(), Age: milliseconds(message.GetAgeMillis()), KeepMissing: milliseconds(message.GetKeepMissingMillis()),
	}
	if message.ConfirmedMillis != nil {
		confirmed := time.Duration(min(max(message.GetConfirmedMillis(), -maxConfirmedMillis), maxConfirmedMillis)) * time.Millisecond
		changes.Confirmed = &confirmed
	}
	for _, e := range message.GetEntries() {
		entry := topo.Entry{Key: e.GetKey(), Revision: e.GetRevision()}
		if !e.GetDeleted() {
			entry.Value = append([]byte{}, e.GetValue()...)
		}
		if len(e.GetGzipValue()) > 0 {
			var err error
			if entry.Value, err = gzipbytes.Decompress(e.GetGzipValue(), topo.MaxValueBytes); err != nil {
				return nil, err
			}
		}
		changes.Entries = append(changes.Entries, entry)
	}
	return changes, nil
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// handle serves a peer that follows the store through this instance.
func (r *storeRelay) handle(ctx context.Context, _ string, req *peerpb.Request) (*peerpb.Response, error) {
	watch := req.GetWatchStore()
	changes, err := r.watcher.Changes(ctx, discovery.Ask{
		After: watch.GetAfter(), Wait: milliseconds(watch.GetWaitMillis()), KnownAge: milliseconds(watch.GetKnownAgeMillis()),
	})
	if err != nil {
		return nil, &peer.RemoteError{Code: codeNotFollowing, Message: err.Error()}
	}
	message := &peerpb.StoreChanges{
		Revision: changes.Revision, AgeMillis: uint32(changes.Age.Milliseconds()), KeepMissingMillis: uint32(changes.KeepMissing.Milliseconds()),
	}
	if changes.Confirmed != nil {
		// Rounded down, so that the age at the receiver is never below that here.
		millis := int64(math.Floor(float64(*changes.Confirmed) / float64(time.Millisecond)))
		message.ConfirmedMillis = &millis
	}
	for i := range changes.Entries {
		message.Entries = append(message.Entries, r.encode(&changes.Entries[i]))
	}
	return &peerpb.Response{Result: &peerpb.Response_StoreChanges{StoreChanges: message}}, nil
}

func (r *storeRelay) encode(entry *topo.Entry) *peerpb.StoreEntry {
	encoded := &peerpb.StoreEntry{Key: entry.Key, Revision: entry.Revision, Deleted: entry.Value == nil}
	if len(entry.Value) < minGzipBytes {
		encoded.Value = entry.Value
		return encoded
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.compressed.key != entry.Key || r.compressed.revision != entry.Revision {
		r.compressed = compressedValue{key: entry.Key, revision: entry.Revision, gzip: gzipbytes.Compress(entry.Value)}
	}
	encoded.GzipValue = r.compressed.gzip
	return encoded
}
