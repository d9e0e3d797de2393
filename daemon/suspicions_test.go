package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/suspect"
	"rhubarbpoint/topo"
	"rhubarbpoint/topo/memtopo"
)

// lossy loses the responses to a number of writes.
type lossy struct{ lose int }

func (l *lossy) Next(op topo.Op, _ string) memtopo.Fault {
	if op != topo.OpPut || l.lose == 0 {
		return memtopo.Fault{}
	}
	l.lose--
	return memtopo.Fault{LoseResponse: true}
}

// Guards against a request that can crash one replica per instance: crashes seen by different instances must add up,
// also when the response to a write is lost.
func TestInstancesAddUpCrashes(t *testing.T) {
	for _, lose := range []int{0, 2} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			store := memtopo.New(&lossy{lose})
			f := suspect.ContentFingerprint("poison")
			var instances []*suspicions
			for _, name := range []string{"a", "b", "c", "d"} {
				s := newSuspicions(store, name, nil)
				s.table = suspect.New(suspect.Options{Self: name, Publish: s.scheduleWrite})
				instances = append(instances, s)
				go s.run(t.Context())
			}
			share := func() {
				entries, _, err := store.List(t.Context(), "")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				for _, s := range instances {
					for _, entry := range entries {
						s.merge(time.Now(), entry)
					}
				}
			}
			for i, s := range instances[:3] {
				_, err := s.table.Check(time.Now(), f)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				run, err := s.table.Begin(time.Now(), string(rune('x'+i)), f)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				run.RecordCrash(time.Now())
				run.End(time.Now())
				time.Sleep(3 * time.Second)
				share()
			}
			for _, s := range instances {
				_, err := s.table.Check(time.Now(), f)
				g.Expect(err).To(gomega.MatchError(suspect.ErrRefused), s.key)
			}
		})
	}
}
