package manager

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/config"
	"rhubarbpoint/internal/gzipbytes"
)

const (
	// historyLength is the number of edits that the record lists. At 1,300 edits a day they cover 4.7 hours, the time
	// within which the outcome of an edit can still be determined.
	historyLength = 256
	// maxRecordBytes bounds a decompressed record, so that a corrupt value cannot exhaust the memory.
	maxRecordBytes = 8 << 20
)

// record is the value in the store: the document, the version that last changed each section, and the latest edits. It
// is compressed, because instances fetch it after each of 1,300 edits a day within a budget of 13 KB/s.
type record struct {
	Raw     config.RawDocument `json:"document"`
	Changed map[string]int64   `json:"changed"`
	Edits   []appliedEdit      `json:"edits"`
}

// appliedEdit is one accepted edit. Version is the document's version that it created.
type appliedEdit struct {
	ID      string `json:"id"`
	Section string `json:"section"`
	Version int64  `json:"version"`
	Hash    string `json:"hash"`
}

func decodeRecord(value []byte) (*record, error) {
	data, err := gzipbytes.Decompress(value, maxRecordBytes)
	if err != nil {
		return nil, errors.Wrap(err, "config: record")
	}
	// A release that ignored an unknown field would drop it from the record with its next edit.
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var r record
	return &r, errors.Wrap(dec.Decode(&r), "config: record")
}

func (r *record) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "a record is valid JSON"))
	}
	return gzipbytes.Compress(data)
}

// findEdit returns the accepted edit with an ID, if the history lists it.
func (r *record) findEdit(id string) (appliedEdit, bool) {
	i := slices.IndexFunc(r.Edits, func(e appliedEdit) bool { return e.ID == id })
	if i < 0 {
		return appliedEdit{}, false
	}
	return r.Edits[i], true
}

// coversEditsSince reports whether the record lists every edit that created a version above since.
func (r *record) coversEditsSince(since int64) bool {
	return r.Raw.Version <= since || len(r.Edits) > 0 && r.Edits[0].Version <= since+1
}

// withEdit returns a copy of the record after an edit that results in the document next.
func (r *record) withEdit(next *config.RawDocument, id, section, hash string) *record {
	version := r.Raw.Version + 1
	after := &record{Raw: *next, Changed: map[string]int64{section: version}}
	after.Raw.Version = version
	for name, changed := range r.Changed {
		if name != section {
			after.Changed[name] = changed
		}
	}
	after.Edits = append(slices.Clone(r.Edits), appliedEdit{ID: id, Section: section, Version: version, Hash: hash})
	after.Edits = after.Edits[max(0, len(after.Edits)-historyLength):]
	return after
}
