package bench

import (
	"fmt"
	"os"
	"testing"
)

func TestDebug(t *testing.T) {
	if os.Getenv("DEBUGT") == "" {
		t.Skip()
	}
	traces := Traces(1)
	for i := range traces {
		if traces[i].Name != os.Getenv("DEBUGT") {
			continue
		}
		for _, p := range Policies() {
			if p.Name != os.Getenv("POL") {
				continue
			}
			r := Run(&traces[i], p, 1, 3)
			fmt.Println(float64(r.Good) / float64(r.Requests))
			for _, m := range r.Schedule {
				fmt.Printf("%.0f-%.0f %s %s->%s\n", m.began.Seconds(), m.Seconds, m.Engine, m.from, m.Role)
			}
		}
	}
}
