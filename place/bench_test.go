package place_test

import (
	"testing"
	"time"
)

// BenchmarkChooseAmongMany measures one choice among 860 replicas, the number planned for in two years.
func BenchmarkChooseAmongMany(b *testing.B) {
	balancer, list, now := newBalancer(1), engines(290, 570), time.Unix(0, 0)
	for i := range uint64(b.N) {
		if _, err := balancer.Choose(now, model, list, newRequest(now, prompt(i, i))); err != nil {
			b.Fatal(err)
		}
	}
}
