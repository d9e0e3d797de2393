package route

import (
	"fmt"
	"testing"

	"rhubarbpoint/engine"
)

// BenchmarkPick measures one decision among 430 engines, the number planned for in one region in two years.
func BenchmarkPick(b *testing.B) {
	var names []string
	for i := range 430 {
		names = append(names, fmt.Sprintf("r1-%d", i))
	}
	table := testTable(names...)
	for i, name := range names {
		role := []engine.Role{engine.RolePrefill, engine.RoleDecode, engine.RoleMixed}[i%3]
		table.UpdateLoad(epoch.Add(1e9), idle(name, epoch.Add(1e9), role))
	}
	req := testRequest("1")
	req.PrefixHashes = []uint64{1, 2, 3, 4, 5}
	req.PromptTokens = 21000
	for b.Loop() {
		if _, err := table.Pick(epoch.Add(2e9), req); err != nil {
			b.Fatal(err)
		}
	}
}
