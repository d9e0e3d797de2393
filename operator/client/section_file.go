package client

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/config"
	"rhubarbpoint/operator"
)

// WorkingFile is a section file: one section of the document in force, to be changed in a text editor and applied. It
// holds the base version, so that an edit of the section by another operator in the meantime is a conflict and not
// lost.
type WorkingFile struct {
	Section string          `json:"section"`
	Base    int64           `json:"base"`
	Content json.RawMessage `json:"content"`
}

// NewWorkingFile returns a section file with a section of a document.
func NewWorkingFile(now *operator.Configuration, section string) (*WorkingFile, error) {
	source, err := config.ParseRawDocument(now.Document)
	if err != nil {
		return nil, err
	}
	content, err := source.Section(section)
	if err != nil {
		return nil, err
	}
	return &WorkingFile{Section: section, Base: now.Version, Content: content}, nil
}

// ParseWorkingFile decodes a section file.
func ParseWorkingFile(data []byte) (*WorkingFile, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var f WorkingFile
	if err := dec.Decode(&f); err != nil {
		return nil, errors.Wrap(err, "not a section file as edit writes it")
	}
	if !config.IsSection(f.Section) || len(f.Content) == 0 {
		return nil, errors.New("not a section file as edit writes it: want section, base and content")
	}
	return &f, nil
}

// IsWorkingFile reports whether data is a section file rather than a whole document.
func IsWorkingFile(data []byte) bool {
	var f struct {
		Section *string `json:"section"`
	}
	return json.Unmarshal(data, &f) == nil && f.Section != nil
}

// Encode returns the file in indented JSON.
func (f *WorkingFile) Encode() ([]byte, error) {
	data, err := json.MarshalIndent(f, "", "  ")
	return append(data, '\n'), err
}
