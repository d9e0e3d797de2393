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

// IsSection reports whether the document has a section of that name.
func IsSection(name string) bool { return slices.Contains(Sections(), name) }

// RawDocument is a document as operators wrote it, with undecoded sections. Defaults are not filled in, so that they
// always come from the release that reads the document. An absent section is empty.
type RawDocument struct {
	Version int64           `json:"version"`
	Orders  json.RawMessage `json:"orders,omitempty"`
	Models  json.RawMessage `json:"models,omitempty"`
	Network json.RawMessage `json:"network,omitempty"`
	Callers json.RawMessage `json:"callers,omitempty"`
}

// ParseRawDocument parses a document without decoding its sections. It returns an error marked with ErrInvalid.
func ParseRawDocument(data []byte) (*RawDocument, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var d RawDocument
	if err := dec.Decode(&d); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "config"), ErrInvalid)
	}
	return &d, nil
}

// Section returns a section as it was written, "{}" for an absent one, or ErrUnknownSection.
func (d *RawDocument) Section(name string) (json.RawMessage, error) {
	field := d.sectionField(name)
	if field == nil {
		return nil, ErrUnknownSection
	}
	if len(*field) == 0 {
		return json.RawMessage("{}"), nil
	}
	return *field, nil
}

// sectionField returns a pointer to the field of a section, or nil.
func (d *RawDocument) sectionField(name string) *json.RawMessage {
	switch name {
	case "orders":
		return &d.Orders
	case "models":
		return &d.Models
	case "network":
		return &d.Network
	case "callers":
		return &d.Callers
	}
	return nil
}

// Replace returns a copy in which the content of one section is replaced, and the document that the copy decodes to. It
// returns ErrUnknownSection or an *InvalidError; the content is checked together with all other sections.
func (d *RawDocument) Replace(name string, content []byte) (*RawDocument, *Document, error) {
	next := *d
	field := next.sectionField(name)
	if field == nil {
		return nil, nil, ErrUnknownSection
	}
	// Content such as `{},"callers":{}` must not be able to replace other sections.
	var object map[string]json.RawMessage
	if err := json.Unmarshal(content, &object); err != nil || object == nil {
		return nil, nil, newInvalidError(syntaxFaults(name, content))
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, content); err != nil {
		return nil, nil, newInvalidError(syntaxFaults(name, content))
	}
	*field = compact.Bytes()
	doc, err := next.Document()
	if err != nil {
		return nil, nil, err
	}
	return &next, doc, nil
}

// syntaxFaults returns the faults of a section's content that is not a JSON object.
func syntaxFaults(name string, content []byte) []strict.Fault {
	faults := strict.Decode(content, &struct{}{})
	for i := range faults {
		if faults[i].Path == "" {
			faults[i].Path = name
		}
	}
	return faults
}

// Document decodes and checks the document like Decode.
func (d *RawDocument) Document() (*Document, error) { return Decode(d.Encode()) }

// Encode returns the document as compact JSON.
func (d *RawDocument) Encode() []byte {
	data, err := json.Marshal(d)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "sections of a raw document are valid JSON"))
	}
	return data
}
