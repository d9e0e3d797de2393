package bench

import (
	"fmt"
	"os"
	"rhubarbpoint/engine"
	"sync"
	"testing"
)

func TestQuick(t *testing.T) {
	if os.Getenv("QUICK") == "" {
		t.Skip()
	}
	traces := Traces(1)
	ps := Policies()
	for _, r := range [][3]string{{"m", "m", "m"}, {"p", "m", "m"}, {"m", "m", "d"}, {"p", "p", "m"}, {"p", "m", "d"}, {"m", "d", "d"}, {"p", "p", "d"}, {"p", "d", "d"}} {
		p := Policy{Name: r[0] + r[1] + r[2]}
		for i := range r {
			p.roles[i] = map[string]engine.Role{"m": mixedRole, "p": prefillRole, "d": decodeRole}[r[i]]
		}
		ps = append(ps, p)
	}
	res := make([][]*Result, len(traces))
	var wg sync.WaitGroup
	sem := make(chan bool, 5)
	for i := range traces {
		res[i] = make([]*Result, len(ps))
		for j := range ps {
			wg.Add(1)
			go func() { defer wg.Done(); sem <- true; res[i][j] = Run(&traces[i], ps[j], 1, 3); <-sem }()
		}
	}
	wg.Wait()
	for i := range traces {
		if os.Getenv("OPT") != "" {
			o := optimise(&traces[i], 1, newPool(6), res[i][4:7])
			res[i][0] = o.Best
			fmt.Println(o.Estimate, o.Replays)
			for _, m := range o.Best.Schedule {
				fmt.Printf("%.0f:%s->%s ", m.Seconds, m.Engine, m.Role)
			}
		}

		fmt.Println(traces[i].Name, len(traces[i].Requests))
		for j := range ps {
			r := res[i][j]
			fmt.Printf("  %-16s good=%.3f %.2f/s lateF=%d lateG=%d exp=%d ref=%d chg=%d est=-%dk+%dk twice=%dk/%dk bytes=%dk retr=%d grade=%d reply=%d\n", r.Policy, float64(r.Good)/float64(r.Requests), r.Goodput, r.LateFirst, r.LateGaps, r.Expired, r.Refused, r.RoleChanges, r.UnderEstimated/1000, r.OverEstimated/1000, r.PrefilledTwice/1000, r.Prefilled/1000, r.Bytes/1000, r.Retries, r.GoodByWorkload["grade"], r.GoodByWorkload["reply"])
		}
	}
}
