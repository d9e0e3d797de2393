package manager

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/config"
)

// revisionSize is the number of bytes of the store revision that precedes a record sent between instances.
const revisionSize = 8

// state is one version of the document on this instance. It is immutable.
type state struct {
	doc   *config.Document
	raw   *config.RawDocument
	value []byte // as the store holds it
	// revision is the store revision of the value; 0 for a document that is not from the store.
	revision int64
}

func newState(value []byte, revision int64) (*state, error) {
	r, err := decodeRecord(value)
	if err != nil {
		return nil, err
	}
	doc, err := r.Raw.Document()
	if err != nil {
		return nil, err
	}
	return &state{doc: doc, raw: &r.Raw, value: value, revision: revision}, nil
}

// encode returns the state for a peer. It includes the revision, so that the peer does not read the same version from
// the store again.
func (s *state) encode() []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(s.revision)), s.value...)
}

func decodeState(data []byte) (*state, error) {
	if len(data) < revisionSize {
		return nil, errors.New("config: encoded document is truncated")
	}
	return newState(data[revisionSize:], int64(binary.BigEndian.Uint64(data)))
}

// pastVersion is an earlier version of the document, encoded as in the store.
type pastVersion struct {
	version int64
	value   []byte
}

// document decodes the document, which was valid when it was in force. It returns nil if decoding fails.
func (k pastVersion) document() *config.Document {
	s, err := newState(k.value, 0)
	if err != nil {
		return nil
	}
	return s.doc
}
