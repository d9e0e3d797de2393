package claim

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/topo"
)

// errExpired means that the slot holds a newer minute, or never held the record of an outcome.
var errExpired = errors.New("claim: the key's minute is over")

// slot is the decoded value of one slot and the revision at which it was read or written.
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

// settled says that applying the record would change nothing.
func (s *slot) settled(minute int64, record *peerpb.ClaimRecord) bool {
	if s.minute != minute {
		return s.minute > minute
	}
	standing := s.index[key(record.GetKey())]
	return standing != nil && !advances(standing, record)
}

// apply adds a record or advances the state of its attempt, and returns the record that stands for the key. An older
// minute is replaced as a whole. A newer one proves that the key has expired: its claims may have been dropped, so
// the key must never be claimed again.
func (s *slot) apply(minute int64, record *peerpb.ClaimRecord) (*peerpb.ClaimRecord, error) {
	if s.minute > minute {
		return nil, errExpired
	}
	if s.minute < minute {
		s.minute, s.records, s.index = minute, nil, make(map[key]*peerpb.ClaimRecord)
	}
	standing := s.index[key(record.GetKey())]
	switch {
	case standing == nil && record.GetState() == peerpb.ClaimState_CLAIM_STATE_DONE:
		return nil, errExpired
	case standing == nil:
		standing = proto.CloneOf(record)
		s.add(standing)
	case advances(standing, record):
		standing.State, standing.Status = record.GetState(), record.GetStatus()
	}
	return proto.CloneOf(standing), nil
}

// advances says that the record is the outcome of the standing claim.
func advances(standing, record *peerpb.ClaimRecord) bool {
	return standing.GetState() == peerpb.ClaimState_CLAIM_STATE_CLAIMED &&
		record.GetState() != peerpb.ClaimState_CLAIM_STATE_CLAIMED &&
		bytes.Equal(standing.GetToken(), record.GetToken())
}
