package claim

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against orders that run a second time because a restored store has lost their claims.
func TestOrdersRunOnceAcrossARestoreOfTheStore(t *testing.T) {
	inSimulation(t, func(g *gomega.WithT, sim *simulation, _ string) {
		random := rand.New(rand.NewPCG(7, 7))
		run := func(count int) (ids []string) {
			for range count {
				id := newKey(random, time.Now(), true)
				_, err := sim.procs[random.IntN(3)].claimer.Run(withTimeout(20*time.Second), id, Fingerprint{}, respondAfter(id, 0))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				ids = append(ids, id)
			}
			return ids
		}
		run(60)
		older := sim.store.Copy()
		lost := run(60)
		sim.store.Restore(older)
		run(120) // conflicts drop what is cached
		for _, id := range lost {
			for _, p := range sim.procs {
				_, _ = p.claimer.Run(withTimeout(20*time.Second), id, Fingerprint{}, failOnSend)
			}
		}
	})
}
