package bench

import (
	"fmt"
	"os"
	"testing"
)

func TestSlots(t *testing.T) {
	if os.Getenv("SLOTS") == "" {
		t.Skip()
	}
	traces := Traces(1)
	tr := &traces[1]
	s := search{trace: tr, seed: 1, pool: newPool(6)}
	f := s.fixed(regionStates)
	a := s.fixed(awayStates)
	tot := make([]int, 61)
	for _, r := range tr.Requests {
		if r.Region == "r1" {
			tot[int(r.AtMS/10000)]++
		}
	}
	fmt.Printf("%12s %v\n", "offered", tot)
	for i := range f {
		fmt.Printf("%v %v\n", regionStates[i], f[i].GoodBySlot[0])
	}
	for i := range a {
		fmt.Printf("%v %v\n", awayStates[i], a[i].GoodBySlot[0])
	}
}
