// Package config defines the configuration document: its types, strict decoding, validation across sections, edits of
// one section, and differences. The doc comments of the types are the operators' reference.
package config

// Document is the whole configuration. Each team owns one section. Version is assigned by the system: each accepted
// edit raises it by one.
type Document struct {
	Version int64   `json:"version"`
	Orders  Orders  `json:"orders"`
	Models  Models  `json:"models"`
	Network Network `json:"network"`
	Callers Callers `json:"callers"`
}
