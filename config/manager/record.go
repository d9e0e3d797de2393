package manager

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"slices"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/config"
)

const (
	// historyLength is the number of edits that the record names. At 1,300 edits a day it covers 4.7 hours, which is
	// how long the outcome of an edit can be learned after the fact.
	historyLength = 256
	// maxRecordBytes bounds a decompressed record, so that a corrupt value cannot exhaust the memory.
	maxRecordBytes = 8 << 20
)

// record is the value of the store: the document, which version changed each section last, and the last edits. It is
// compressed, because instances fetch it after each of 1,300 edits a day within a budget of 13 KB/s.
type record struct {
	Source  config.RawDocument `json:"document"`
	Changed map[string]int64   `json:"changed"`
	Edits   []appliedEdit      `json:"edits"`
}

// appliedEdit is one accepted edit. Version is the one that it made.
type appliedEdit struct {
	ID      string `json:"id"`
	Section string `json:"section"`
	Version int64  `json:"version"`
	Hash    string `json:"hash"`
}

func decodeRecord(value []byte) (*record, error) {
	zip, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, errors.Wrap(err, "config: record")
	}
	data, err := io.ReadAll(io.LimitReader(zip, maxRecordBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "config: record")
	}
	if len(data) > maxRecordBytes {
		return nil, errors.Newf("config: record has more than %d bytes", maxRecordBytes)
	}
	// An edit by a release that ignored a part of the record would drop that part.
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
	var out bytes.Buffer
	zip := gzip.NewWriter(&out)
	zip.Write(data)
	zip.Close()
	return out.Bytes()
}

// find returns the accepted edit with an ID.
func (r *record) find(id string) (appliedEdit, bool) {
	i := slices.IndexFunc(r.Edits, func(e appliedEdit) bool { return e.ID == id })
	if i < 0 {
		return appliedEdit{}, false
	}
	return r.Edits[i], true
}

// namesAllSince says whether the record names every edit that made a version above since.
func (r *record) namesAllSince(since int64) bool {
	return r.Source.Version <= since || len(r.Edits) > 0 && r.Edits[0].Version <= since+1
}

// with returns the record after an edit.
func (r *record) with(next *config.RawDocument, id, section, hash string) *record {
	version := r.Source.Version + 1
	after := &record{Source: *next, Changed: map[string]int64{section: version}}
	after.Source.Version = version
	for name, changed := range r.Changed {
		if name != section {
			after.Changed[name] = changed
		}
	}
	after.Edits = append(slices.Clone(r.Edits), appliedEdit{ID: id, Section: section, Version: version, Hash: hash})
	after.Edits = after.Edits[max(0, len(after.Edits)-historyLength):]
	return after
}
