package manager

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/config"
)

// revisionBytes is the length of the store's revision in front of a record between instances.
const revisionBytes = 8

// state is one version of the document on this instance. It never changes.
type state struct {
	doc    *config.Document
	source *config.RawDocument
	value  []byte // as the store holds it
	// revision is the store's revision of the value; 0 for a document that is not from the store.
	revision int64
}

func newState(value []byte, revision int64) (*state, error) {
	r, err := decodeRecord(value)
	if err != nil {
		return nil, err
	}
	doc, err := r.Source.Document()
	if err != nil {
		return nil, err
	}
	return &state{doc: doc, source: &r.Source, value: value, revision: revision}, nil
}

// encode returns the state for a peer. It carries the revision, so that a peer does not read the same version again.
func (s *state) encode() []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(s.revision)), s.value...)
}

func decodeState(data []byte) (*state, error) {
	if len(data) < revisionBytes {
		return nil, errors.New("config: document cut short")
	}
	return newState(data[revisionBytes:], int64(binary.BigEndian.Uint64(data)))
}

// kept is an earlier version, as the store held it.
type kept struct {
	version int64
	value   []byte
}

// document decodes the version, which was valid when it was in force.
func (k kept) document() *config.Document {
	s, err := newState(k.value, 0)
	if err != nil {
		return nil
	}
	return s.doc
}
