package manager_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/config/manager"
	"rhubarbpoint/topo"
	"rhubarbpoint/topo/memtopo"
)

// Guards against a lost edit, and against edits that are refused for good because the store is behind.
func TestDocumentThatARestoredStoreLacksIsWrittenAgain(t *testing.T) {
	for name, edits := range map[string]int{"older document": 1, "no document": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				var failures atomic.Int64
				store := memtopo.New(memtopo.FaultFunc(func(op topo.Op, _ string) memtopo.Fault {
					return memtopo.Fault{Refuse: op == topo.OpPut && failures.Add(-1) >= 0}
				}))
				editor, _ := start(t, manager.Options{Store: store})
				watcher, _ := start(t, manager.Options{Store: store, ShouldWatch: func() bool { return true }})
				older := store.Copy()
				for base := range int64(2) {
					if int(base) == edits {
						older = store.Copy()
					}
					_, err := edit(editor, "callers", base, `{"allow_unknown":true}`)
					g.Expect(err).NotTo(gomega.HaveOccurred())
				}
				time.Sleep(time.Second)
				failures.Store(2)
				store.Restore(older)
				time.Sleep(13 * time.Second)
				late, _ := start(t, manager.Options{Store: store})
				time.Sleep(time.Second)
				g.Expect(late.Version()).To(gomega.BeEquivalentTo(2))
				result, err := edit(editor, "callers", 2, `{"allow_unknown":false}`)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(result.Version).To(gomega.BeEquivalentTo(3))
				time.Sleep(13 * time.Second)
				g.Expect(watcher.Version()).To(gomega.BeEquivalentTo(3))
			})
		})
	}
}
