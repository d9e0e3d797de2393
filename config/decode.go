package config

import "rhubarbpoint/internal/strict"

// Decode reads a whole document, sets defaults and checks every rule, also those between sections. It returns an
// *InvalidError with all faults, and then no document.
func Decode(data []byte) (*Document, error) {
	var doc Document
	faults := strict.Decode(data, &doc)
	if len(faults) == 0 {
		doc.setDefaultDeadline()
	}
	// A wrong type leaves a field empty, which would cause faults that the operator did not make, but rules between
	// well-formed parts can be checked nevertheless.
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
