package member

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/proto"

	"rhubarbpoint/peer/peerpb"
)

// kind is the kind of a record, in the order in which they are sent when not all fit.
type kind uint8

const (
	kindLeaving kind = iota
	kindPlanned
	kindSuspicion
	kindMember
	kindZone
	kindLoad
	kindCount
)

// String returns the name of the kind in metrics.
func (k kind) String() string {
	return [kindCount]string{"leaving", "suspicion", "member", "zone", "load"}[k]
}

type key struct {
	kind kind
	id   string
}

// entry is the newest record known for a key.
type entry struct {
	key    key
	seq    uint64
	origin string
	msg    proto.Message
	size   int
	change uint64 // local number of the change that brought the record
	at     time.Time
	source string // the peer that it came from
	base   uint32 // of a load record
}

// table holds the newest record of each key. A record is newer if its sequence number is higher; ties, which occur
// while two instances write the same key, are decided by origin and content. Merging is therefore commutative,
// associative and idempotent, and never goes back. It is not safe for concurrent use.
type table struct {
	entries map[key]*entry
	changes uint64
}

func newTable() *table { return &table{entries: make(map[key]*entry)} }

// merge takes a record and reports whether it is news.
func (t *table) merge(now time.Time, source string, e entry) bool {
	if old := t.entries[e.key]; old != nil && !newer(&e, old) {
		return false
	}
	t.changes++
	e.change, e.at, e.source, e.size = t.changes, now, source, proto.Size(e.msg)
	t.entries[e.key] = &e
	return true
}

// next returns the sequence number with which this instance supersedes whatever is known for the key. Wall clocks are
// not used, so that an instance whose clock is ahead cannot silence its successors.
func (t *table) next(k key) uint64 {
	if old := t.entries[k]; old != nil {
		return old.seq + 1
	}
	return 1
}

func newer(a, b *entry) bool {
	if a.seq != b.seq {
		return a.seq > b.seq
	}
	if a.origin != b.origin {
		return a.origin > b.origin
	}
	return bytes.Compare(encode(a.msg), encode(b.msg)) > 0
}

func encode(m proto.Message) []byte {
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m) // cannot fail for messages that were decoded
	return data
}

// memberEntry keeps the beat out of the record: it is not part of its content, and a record whose content seems to
// change with each beat would be news for ever.
func memberEntry(m *peerpb.Member) entry {
	m = proto.Clone(m).(*peerpb.Member)
	m.Beat = 0
	return entry{key: key{kindMember, m.GetId()}, seq: m.GetSeq(), origin: m.GetId(), msg: m}
}

func loadEntry(l *peerpb.UpstreamLoad) entry {
	return entry{key: key{kindLoad, l.GetUpstream()}, seq: l.GetSeq(), origin: l.GetReporter(), msg: l}
}

func leavingEntry(l *peerpb.UpstreamLeaving) entry {
	return entry{key: key{kindLeaving, l.GetUpstream()}, seq: l.GetSeq(), origin: l.GetOrigin(), msg: l}
}

func plannedEntry(p *peerpb.UpstreamPlanned) entry {
	return entry{key: key{kindPlanned, p.GetUpstream()}, seq: p.GetSeq(), origin: p.GetOrigin(), msg: p}
}

func zoneEntry(z *peerpb.ZoneSummary) entry {
	return entry{key: key{kindZone, z.GetRegion() + "/" + z.GetZone()}, seq: z.GetSeq(), origin: z.GetOrigin(), msg: z}
}

func suspicionEntry(s *peerpb.Suspicion) entry {
	id := string(s.GetFingerprint()) + "/" + s.GetOrigin()
	return entry{key: key{kindSuspicion, id}, seq: s.GetSeq(), origin: s.GetOrigin(), msg: s}
}

// add appends a record to a batch.
func add(r *peerpb.Records, m proto.Message) {
	switch m := m.(type) {
	case *peerpb.Member:
		r.Members = append(r.Members, m)
	case *peerpb.UpstreamLoad:
		r.Loads = append(r.Loads, m)
	case *peerpb.LoadDelta:
		r.Deltas = append(r.Deltas, m)
	case *peerpb.UpstreamLeaving:
		r.Leaving = append(r.Leaving, m)
	case *peerpb.UpstreamPlanned:
		r.Planned = append(r.Planned, m)
	case *peerpb.ZoneSummary:
		r.Zones = append(r.Zones, m)
	case *peerpb.Suspicion:
		r.Suspicions = append(r.Suspicions, m)
	}
}
