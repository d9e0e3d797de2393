package config

import "rhubarbpoint/internal/strict"

// Decode decodes a complete document, sets defaults and checks every rule, including those that span sections. If there
// are faults, it returns an *InvalidError with all of them and no document.
func Decode(data []byte) (*Document, error) {
	var doc Document
	faults := strict.Decode(data, &doc)
	if len(faults) == 0 {
		doc.setDefaultDeadline()
	}
	// A field of the wrong type stays empty. check passes over such fields, whose empty values would otherwise cause
	// faults that the operator did not make, and still checks the rules between the well-formed parts.
	faults = append(faults, check(&doc, faults)...)
	if len(faults) > 0 {
		return nil, newInvalidError(faults)
	}
	return &doc, nil
}

func (d *Document) setDefaultDeadline() {
	if d.Network.DefaultDeadline == 0 {
		d.Network.DefaultDeadline = min(Duration(defaultDeadline), d.Network.MaxRequestDeadline)
	}
}
