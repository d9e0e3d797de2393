package bench

import (
	"fmt"
	"os"
	"rhubarbpoint/engine"
	"strings"
	"sync"
	"testing"
)

func TestTune(t *testing.T) {
	if os.Getenv("TUNING") == "" {
		t.Skip()
	}
	traces := Traces(1)
	if os.Getenv("SEEDS") != "" {
		traces = append(traces, Traces(2)...)
		traces = append(traces, Traces(3)...)
	}
	var ps []Policy
	for _, n := range strings.Split(os.Getenv("TUNING"), ",") {
		p := Policy{Name: n}
		found := false
		for _, q := range Policies() {
			if q.Name == n {
				p = q
				found = true
			}
		}
		if !found {
			for i := range 3 {
				p.roles[i] = map[byte]engine.Role{'m': mixedRole, 'p': prefillRole, 'd': decodeRole}[n[i]]
			}
		}
		ps = append(ps, p)
	}
	res := make([][]*Result, len(traces))
	var wg sync.WaitGroup
	pl := newPool(6)
	for i := range traces {
		res[i] = make([]*Result, len(ps))
		for j := range ps {
			pl.run(&wg, func() { res[i][j] = Run(&traces[i], ps[j], 1, 3) })
		}
	}
	wg.Wait()
	fmt.Printf("%-24s", os.Getenv("TUNE"))
	for j := range ps {
		fmt.Printf(" | %s", ps[j].Name)
		s := 0.0
		c := 0
		for i := range traces {
			r := res[i][j]
			s += float64(r.Good) / float64(r.Requests)
			c += r.RoleChanges
			fmt.Printf(" %.3f", float64(r.Good)/float64(r.Requests))
		}
		fmt.Printf(" =%.3f c%d", s/float64(len(traces)), c)
		for i := range traces {
			fmt.Printf(" %d/%d/%d", res[i][j].LateFirst, res[i][j].LateGaps, res[i][j].Refused)
		}
	}
	fmt.Println()
}
