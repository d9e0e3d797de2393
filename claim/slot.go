package claim

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/topo"
)

// errExpired means that the slot holds the records of a later minute, or that it holds no claim for a completed order
// whose outcome is to be recorded.
var errExpired = errors.New("claim: the key's minute has expired")

// slot is the decoded value of one slot, with the store revision at which it was read or written.
type slot struct {
	revision int64
	minute   int64
	records  []*peerpb.ClaimRecord
	index    map[key]*peerpb.ClaimRecord
}

func newSlot() *slot { return &slot{index: make(map[key]*peerpb.ClaimRecord)} }

func decodeSlot(entry topo.Entry) (*slot, error) {
	var value peerpb.ClaimSlot
	if err := proto.Unmarshal(entry.Value, &value); err != nil {
		return nil, errors.Wrapf(err, "claim: slot %s", entry.Key)
	}
	s := newSlot()
	s.revision, s.minute = entry.Revision, value.GetMinute()
	for _, record := range value.GetRecords() {
		s.add(record)
	}
	return s, nil
}

func (s *slot) encode() ([]byte, error) {
	return proto.Marshal(&peerpb.ClaimSlot{Minute: s.minute, Records: s.records})
}

func (s *slot) add(record *peerpb.ClaimRecord) {
	s.records = append(s.records, record)
	s.index[key(record.GetKey())] = record
}

// isNoOp reports whether applying the record would leave the slot unchanged.
func (s *slot) isNoOp(minute int64, record *peerpb.ClaimRecord) bool {
	if s.minute != minute {
		return s.minute > minute
	}
	current := s.index[key(record.GetKey())]
	return current != nil && !acceptsOutcome(current, record)
}

// apply adds the record, or updates the state of the claim that has its token, and returns a copy of the key's current
// record. A record of a later minute first removes all records of the slot's minute. If the slot holds a later minute
// than the record, the key has expired: an earlier claim of it may have been removed, so it must never be claimed
// again.
func (s *slot) apply(minute int64, record *peerpb.ClaimRecord) (*peerpb.ClaimRecord, error) {
	if s.minute > minute {
		return nil, errExpired
	}
	if s.minute < minute {
		s.minute, s.records, s.index = minute, nil, make(map[key]*peerpb.ClaimRecord)
	}
	current := s.index[key(record.GetKey())]
	switch {
	case current == nil && record.GetState() == peerpb.ClaimState_CLAIM_STATE_DONE:
		return nil, errExpired
	case current == nil:
		current = proto.CloneOf(record)
		s.add(current)
	case acceptsOutcome(current, record):
		current.State, current.Status = record.GetState(), record.GetStatus()
	}
	return proto.CloneOf(current), nil
}

// merge adds the records and outcomes that another state of the slot has, unless it is of an earlier minute.
func (s *slot) merge(other *slot) {
	if other.minute < s.minute {
		return
	}
	if other.minute > s.minute {
		s.minute, s.records, s.index = other.minute, nil, make(map[key]*peerpb.ClaimRecord)
	}
	for _, record := range other.records {
		current := s.index[key(record.GetKey())]
		switch {
		case current == nil:
			s.add(record)
		case acceptsOutcome(current, record):
			current.State, current.Status = record.GetState(), record.GetStatus()
		}
	}
}

// acceptsOutcome reports whether the record is the outcome of the current claim and none is recorded yet.
func acceptsOutcome(current, record *peerpb.ClaimRecord) bool {
	return current.GetState() == peerpb.ClaimState_CLAIM_STATE_CLAIMED &&
		record.GetState() != peerpb.ClaimState_CLAIM_STATE_CLAIMED &&
		bytes.Equal(current.GetToken(), record.GetToken())
}
