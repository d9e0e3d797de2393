// Package config defines the configuration document: its types, strict decoding, validation across sections, edits of
// one section, and differences. The doc comments of the types are the operators' reference.
package config

// Document is the whole configuration. Each team owns one section. Version is assigned by the system: each accepted
// edit raises it by one.
type Document struct {
	// Version counts the accepted edits; 0 for a document that was never edited.
	Version int64 `json:"version" min:"0"`
	// Orders belongs to the order team.
	Orders Orders `json:"orders"`
	// Models belongs to the model team.
	Models Models `json:"models"`
	// Network belongs to the network team.
	Network Network `json:"network"`
	// Callers belongs to the team that admits callers.
	Callers Callers `json:"callers"`
}
