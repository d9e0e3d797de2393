package member

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/proto"

	"rhubarbpoint/peer/peerpb"
)

// kind is the kind of a record. When not all records fit into a heartbeat, lower kinds are sent first.
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

// String returns the kind as metric names contain it.
func (k kind) String() string {
	return [kindCount]string{"leaving", "planned", "suspicion", "member", "zone", "load"}[k]
}

// key identifies the subject of records; newer records replace older ones of the same key.
type key struct {
	kind kind
	id   string
}

// entry is the newest known record of a key.
type entry struct {
	key          key
	seq          uint64
	origin       string
	msg          proto.Message
	size         int
	changeNumber uint64 // value of table.lastChange when the record was merged
	updatedAt    time.Time
	source       string // ID of the peer that sent the record, empty for this process
	baseHash     uint32 // of a load record
}

// table holds the newest record of each key. A record is newer if its sequence number is higher; ties, which occur
// while two instances write the same key, are decided by origin and content. Merging is therefore commutative,
// associative and idempotent, and never replaces a record by an older one. A table is not safe for concurrent use.
type table struct {
	entries    map[key]*entry
	lastChange uint64 // number of merged records
}

func newTable() *table { return &table{entries: make(map[key]*entry)} }

// merge stores the record if it is newer than the stored one, and reports whether it is.
func (t *table) merge(now time.Time, source string, e entry) bool {
	if old := t.entries[e.key]; old != nil && !newer(&e, old) {
		return false
	}
	t.lastChange++
	e.changeNumber, e.updatedAt, e.source, e.size = t.lastChange, now, source, proto.Size(e.msg)
	t.entries[e.key] = &e
	return true
}

// nextSeq returns a sequence number that is higher than that of the stored record. Sequence numbers are not taken from
// wall clocks, because the records of an instance whose clock is ahead would hide those of later writers.
func (t *table) nextSeq(k key) uint64 {
	if old := t.entries[k]; old != nil {
		return old.seq + 1
	}
	return 1
}

// newer reports whether a is newer than b.
func newer(a, b *entry) bool {
	if a.seq != b.seq {
		return a.seq > b.seq
	}
	if a.origin != b.origin {
		return a.origin > b.origin
	}
	return bytes.Compare(encodeDeterministic(a.msg), encodeDeterministic(b.msg)) > 0
}

func encodeDeterministic(m proto.Message) []byte {
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m) // cannot fail for decoded messages
	return data
}

// memberEntry returns the entry of a member record without its beat. With the beat, the record's content would change
// each second, and the record would be spread again and again.
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

func exclusionEntry(p *peerpb.UpstreamPlanned) entry {
	return entry{key: key{kindPlanned, p.GetUpstream()}, seq: p.GetSeq(), origin: p.GetOrigin(), msg: p}
}

func zoneEntry(z *peerpb.ZoneSummary) entry {
	return entry{key: key{kindZone, z.GetRegion() + "/" + z.GetZone()}, seq: z.GetSeq(), origin: z.GetOrigin(), msg: z}
}

func suspicionEntry(s *peerpb.Suspicion) entry {
	id := string(s.GetFingerprint()) + "/" + s.GetOrigin()
	return entry{key: key{kindSuspicion, id}, seq: s.GetSeq(), origin: s.GetOrigin(), msg: s}
}

// appendRecord appends a record or a delta to a batch.
func appendRecord(r *peerpb.Records, m proto.Message) {
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
