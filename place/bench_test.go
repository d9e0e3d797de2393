package place_test

import (
	"testing"
	"time"
)

// BenchmarkChooseAmongThousands measures one choice at the size of two years.
func BenchmarkChooseAmongThousands(b *testing.B) {
	board, list, now := newBoard(1), engines(1000, 2000), time.Unix(0, 0)
	for i := range uint64(b.N) {
		if _, err := board.Choose(now, model, list, ask(now, prompt(i, i))); err != nil {
			b.Fatal(err)
		}
	}
}
