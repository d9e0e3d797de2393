package bench

import (
	"fmt"
	"os"
	"testing"
)

func TestDet(t *testing.T) {
	if os.Getenv("DET") == "" {
		t.Skip()
	}
	for range 2 {
		traces := Traces(1)
		for _, p := range Policies() {
			for range 2 {
				r := Run(&traces[1], p, 1, 3)
				fmt.Print(r.Good, " ", r.Prefilled, " ; ")
			}
			fmt.Println(p.Name)
		}
	}
}
