package main

import (
	_ "embed"
	"encoding/json"
)

// namesJSON holds the names of the wire, which stand in no Go file outside the adapter.
//
//go:embed names.json
var namesJSON []byte

// names are the header fields and paths that the stand-ins speak.
var names struct {
	Request, Deadline, Expect, Signature, NotRun, Instance, Load, Txn string
}

func init() {
	if err := json.Unmarshal(namesJSON, &names); err != nil {
		panic(err)
	}
}
