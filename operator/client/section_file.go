package client

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/config"
	"rhubarbpoint/operator"
)

// SectionFile is a section file: one section of the document in force, to be changed in a text editor and applied. It
// holds the base version, so that an edit of the section by another operator in the meantime is a conflict and not
// lost.
type SectionFile struct {
	Section string          `json:"section"`
	Base    int64           `json:"base"`
	Content json.RawMessage `json:"content"`
}

// NewSectionFile returns a section file with a section of a document.
func NewSectionFile(now *operator.Configuration, section string) (*SectionFile, error) {
	source, err := config.ParseRawDocument(now.Document)
	if err != nil {
		return nil, err
	}
	content, err := source.Section(section)
	if err != nil {
		return nil, err
	}
	return &SectionFile{Section: section, Base: now.Version, Content: content}, nil
}

// ParseSectionFile decodes a section file.
func ParseSectionFile(data []byte) (*SectionFile, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var f SectionFile
	if err := dec.Decode(&f); err != nil {
		return nil, errors.Wrap(err, "not a section file as edit writes it")
	}
	if !config.IsSection(f.Section) || len(f.Content) == 0 {
		return nil, errors.New("not a section file as edit writes it: want section, base and content")
	}
	return &f, nil
}

// IsSectionFile reports whether data is a section file rather than a whole document.
func IsSectionFile(data []byte) bool {
	var f struct {
		Section *string `json:"section"`
	}
	return json.Unmarshal(data, &f) == nil && f.Section != nil
}

// Encode returns the file in indented JSON.
func (f *SectionFile) Encode() ([]byte, error) {
	data, err := json.MarshalIndent(f, "", "  ")
	return append(data, '\n'), err
}
