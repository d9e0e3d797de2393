package usage_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/usage"
)

// Guards against a second, different report of a window, by the same holder or by a successor.
func TestRestoredStoreDoesNotChangeReports(t *testing.T) {
	for _, succession := range []bool{false, true} {
		inFleet(t, 5, nil, func(f *fleet) {
			time.Sleep(time.Second)
			window, cutOff, successor := schedule.Containing(time.Now()), f.other(), f.instances[len(f.instances)-1]
			f.locked(func() { f.blocked = func(from, _ string) bool { return from == cutOff.id } })
			f.holder.serve("w", 7)
			cutOff.serve("w", 5)
			older := f.store.Copy()
			time.Sleep(time.Until(schedule.End(window).Add(5300 * time.Millisecond)))
			f.Expect(f.attempts(window)).NotTo(gomega.BeEmpty())
			entry, err := f.store.Get(context.Background(), usage.Key)
			f.Expect(err).NotTo(gomega.HaveOccurred())
			next := f.holder
			if succession {
				f.kill(f.holder)
				next = successor
				next.reporter.Observe(entry)
			}
			f.store.Restore(older)
			f.elect(nil)
			f.locked(func() { f.blocked = nil })
			time.Sleep(3300 * time.Millisecond) // the cut-off instance sends its counts
			f.elect(next)
			time.Sleep(time.Second)
			f.Expect(f.report(window)).To(gomega.Equal(map[string]uint64{"w": 7}))
			restored, err := f.store.Get(context.Background(), usage.Key)
			f.Expect(err).NotTo(gomega.HaveOccurred())
			f.Expect(restored.Revision).To(gomega.BeNumerically(">", entry.Revision))
		})
	}
}
