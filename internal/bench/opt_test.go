package bench

import (
	"fmt"
	"os"
	"testing"
	"time"
)

func TestOpt(t *testing.T) {
	if os.Getenv("OPTT") == "" {
		t.Skip()
	}
	traces := Traces(1)
	for i := range traces {
		t0 := time.Now()
		o := optimise(&traces[i], 1, newPool(7), nil)
		fmt.Printf("%s est=%.3f best=%.3f replays=%d chg=%d took=%.0f\n", traces[i].Name, o.Estimate*600/float64(len(traces[i].Requests)), float64(o.Best.Good)/float64(o.Best.Requests), o.Replays, o.Best.RoleChanges, time.Since(t0).Seconds())
	}
}
