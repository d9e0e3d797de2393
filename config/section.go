package config

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/internal/strict"
)

// ErrUnknownSection means that the document has no section of that name.
var ErrUnknownSection = errors.New("config: unknown section; want orders, models, network or callers")

// Sections returns the names of the sections.
func Sections() []string { return []string{"orders", "models", "network", "callers"} }

// IsSection says whether the document has a section of that name.
func IsSection(name string) bool { return slices.Contains(Sections(), name) }

// RawDocument is a document as operators wrote it: sections in JSON without defaults, which therefore come from the release
// that reads it. An absent section is empty.
type RawDocument struct {
	Version int64           `json:"version"`
	Orders  json.RawMessage `json:"orders,omitempty"`
	Models  json.RawMessage `json:"models,omitempty"`
	Network json.RawMessage `json:"network,omitempty"`
	Callers json.RawMessage `json:"callers,omitempty"`
}

// ParseRawDocument reads a document without checking its sections.
func ParseRawDocument(data []byte) (*RawDocument, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var s RawDocument
	if err := dec.Decode(&s); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "config"), ErrInvalid)
	}
	return &s, nil
}

// Section returns a section as it was written, or ErrUnknownSection.
func (s *RawDocument) Section(name string) (json.RawMessage, error) {
	at := s.section(name)
	if at == nil {
		return nil, ErrUnknownSection
	}
	if len(*at) == 0 {
		return json.RawMessage("{}"), nil
	}
	return *at, nil
}

func (s *RawDocument) section(name string) *json.RawMessage {
	switch name {
	case "orders":
		return &s.Orders
	case "models":
		return &s.Models
	case "network":
		return &s.Network
	case "callers":
		return &s.Callers
	}
	return nil
}

// Replace returns a copy with another content of one section, and the document that it decodes to. It returns
// ErrUnknownSection or an *InvalidError; the content is checked together with all other sections.
func (s *RawDocument) Replace(name string, content []byte) (*RawDocument, *Document, error) {
	next := *s
	at := next.section(name)
	if at == nil {
		return nil, nil, ErrUnknownSection
	}
	// A content such as `{},"callers":{}` must not reach other sections.
	var object map[string]json.RawMessage
	if err := json.Unmarshal(content, &object); err != nil || object == nil {
		return nil, nil, newInvalidError(syntaxFaults(name, content))
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, content); err != nil {
		return nil, nil, newInvalidError(syntaxFaults(name, content))
	}
	*at = compact.Bytes()
	doc, err := next.Document()
	if err != nil {
		return nil, nil, err
	}
	return &next, doc, nil
}

// syntaxFaults describes a content that is no JSON object.
func syntaxFaults(name string, content []byte) []strict.Fault {
	faults := strict.Decode(content, &struct{}{})
	for i := range faults {
		if faults[i].Path == "" {
			faults[i].Path = name
		}
	}
	return faults
}

// Document decodes and checks the source.
func (s *RawDocument) Document() (*Document, error) { return Decode(s.Encode()) }

// Encode returns the source in compact JSON.
func (s *RawDocument) Encode() []byte {
	data, err := json.Marshal(s)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "sections of a source are valid JSON"))
	}
	return data
}
