package peerpb

// The generated code is committed, so that a build needs neither protoc nor its Go plugin.
//go:generate protoc --go_out=. --go_opt=paths=source_relative peer.proto
