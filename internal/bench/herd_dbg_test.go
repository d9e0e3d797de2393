package bench

import (
	"fmt"
	"os"
	"rhubarbpoint/engine"
	"sync"
	"testing"
)

func TestHerdDbg(t *testing.T) {
	if os.Getenv("HERD") == "" {
		t.Skip()
	}
	traces := Traces(1)
	p := Policy{Name: "ppd", roles: [3]engine.Role{prefillRole, prefillRole, decodeRole}}
	pl := newPool(7)
	var wg sync.WaitGroup
	res := map[[2]int]*Result{}
	var mu sync.Mutex
	for _, i := range []int{0, 1, 3, 5, 6} {
		for _, n := range []int{1, 3, 10} {
			pl.run(&wg, func() { r := Run(&traces[i], p, 1, n); mu.Lock(); res[[2]int{i, n}] = r; mu.Unlock() })
		}
	}
	wg.Wait()
	for _, i := range []int{0, 1, 3, 5, 6} {
		for _, n := range []int{1, 3, 10} {
			r := res[[2]int{i, n}]
			fmt.Printf("%s %d good=%.3f lateF=%d lateG=%d exp=%d ref=%d est=-%dk+%dk twice=%dk/%dk grade=%d reply=%d bytes=%d\n", traces[i].Name, n, float64(r.Good)/float64(r.Requests), r.LateFirst, r.LateGaps, r.Expired, r.Refused, r.UnderEstimated/1000, r.OverEstimated/1000, r.PrefilledTwice/1000, r.Prefilled/1000, r.GoodByWorkload["grade"], r.GoodByWorkload["reply"], r.Bytes/1000)
		}
	}
}
