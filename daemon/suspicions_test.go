package daemon

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"rhubarbpoint/peer/peerpb"
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

// suspicionFleet is a number of instances that share their suspicions through one store.
type suspicionFleet struct {
	gomega.Gomega
	t         *testing.T
	store     *memtopo.Store
	instances []*suspicions
}

func newSuspicionFleet(t *testing.T, lose int, names ...string) *suspicionFleet {
	f := &suspicionFleet{Gomega: gomega.NewWithT(t), t: t, store: memtopo.New(&lossy{lose})}
	for _, name := range names {
		f.start(name)
	}
	return f
}

func (f *suspicionFleet) start(name string) *suspicions {
	s := newSuspicions(f.store, name, nil)
	s.table = suspect.New(suspect.Options{Self: fmt.Sprint(name, "-", len(f.instances)), Publish: func(*peerpb.Suspicion) { s.scheduleWrite() }})
	s.segments = suspect.NewSegmentTable(suspect.SegmentOptions{Self: name, OnChange: s.scheduleWrite})
	f.instances = append(f.instances, s)
	go s.run(f.t.Context())
	return s
}

// share waits for the instances to write and gives each of them all entries of the store.
func (f *suspicionFleet) share() {
	time.Sleep(3 * time.Second)
	entries, _, err := f.store.List(f.t.Context(), "")
	f.Expect(err).NotTo(gomega.HaveOccurred())
	for _, s := range f.instances {
		for _, entry := range entries {
			s.merge(time.Now(), entry)
		}
	}
}

// list lets each instance read all entries of the store, as after a restore.
func (f *suspicionFleet) list() {
	entries, _, err := f.store.List(f.t.Context(), "")
	f.Expect(err).NotTo(gomega.HaveOccurred())
	for _, s := range f.instances {
		s.observeList(entries)
	}
}

func (f *suspicionFleet) crash(s *suspicions, incarnation string, segment suspect.Segment) {
	attempt, err := s.segments.Begin(time.Now(), incarnation, []suspect.Segment{segment}, false)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	attempt.End(time.Now(), suspect.Crashed)
}

// Guards against a request that can crash one replica per instance: crashes seen by different instances must add up,
// also when the response to a write is lost.
func TestInstancesAddUpCrashes(t *testing.T) {
	for _, lose := range []int{0, 2} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newSuspicionFleet(t, lose, "a", "b", "c", "d")
			f := suspect.ContentFingerprint("poison")
			for i, s := range fleet.instances[:3] {
				_, err := s.table.Check(time.Now(), f)
				fleet.Expect(err).NotTo(gomega.HaveOccurred())
				run, err := s.table.Begin(time.Now(), string(rune('x'+i)), f)
				fleet.Expect(err).NotTo(gomega.HaveOccurred())
				run.RecordCrash(time.Now())
				run.End(time.Now())
				fleet.share()
			}
			for _, s := range fleet.instances {
				_, err := s.table.Check(time.Now(), f)
				fleet.Expect(err).To(gomega.MatchError(suspect.ErrRefused), s.key)
			}
		})
	}
}

// Guards against a segment that crashes replicas once for each instance, or again after instances have restarted.
func TestInstancesAddUpCrashesOfASegment(t *testing.T) {
	const bad, other suspect.Segment = 0xbad, 0xa
	for _, lose := range []int{0, 2} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newSuspicionFleet(t, lose, "a", "b", "c")
			for i, s := range fleet.instances {
				fleet.crash(s, string(rune('x'+i)), bad)
				fleet.share()
			}
			for _, name := range []string{"a", "b", "c"} {
				restarted := fleet.start(name)
				fleet.share()
				fleet.crash(restarted, "another crash at "+name, other)
				fleet.share()
			}
			fleet.start("d")
			fleet.share()
			for _, s := range fleet.instances {
				_, err := s.segments.Check(time.Now(), []suspect.Segment{bad})
				fleet.Expect(errors.Is(err, suspect.ErrRefused)).To(gomega.BeTrue(), s.key)
			}
		})
	}
}

// Guards against a refused request that may crash replicas again after instances have restarted.
func TestCrashesOfARequestSurviveRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newSuspicionFleet(t, 0, "a", "b", "c")
		crash := func(s *suspicions, engine string, f suspect.Fingerprint) {
			run, err := s.table.Begin(time.Now(), engine, f)
			fleet.Expect(err).NotTo(gomega.HaveOccurred())
			run.RecordCrash(time.Now())
			run.End(time.Now())
			fleet.share()
		}
		bad, other := suspect.ContentFingerprint("bad"), suspect.ContentFingerprint("other")
		for i, s := range fleet.instances {
			crash(s, string(rune('x'+i)), bad)
		}
		for _, name := range []string{"a", "b", "c"} {
			restarted := fleet.start(name)
			fleet.share()
			crash(restarted, "another engine at "+name, other)
		}
		last := fleet.start("d")
		fleet.share()
		_, err := last.table.Check(time.Now(), bad)
		fleet.Expect(err).To(gomega.MatchError(suspect.ErrRefused))
	})
}

// Guards against a refused prompt segment that may crash replicas again after the store has lost the record of it.
func TestCrashesSurviveARestoreOfTheStore(t *testing.T) {
	const bad suspect.Segment = 0xbad
	synctest.Test(t, func(t *testing.T) {
		fleet := newSuspicionFleet(t, 0, "a", "b", "c")
		older := fleet.store.Copy()
		for i, s := range fleet.instances {
			fleet.crash(s, string(rune('x'+i)), bad)
			fleet.share()
		}
		fleet.store.Restore(older)
		fleet.list()
		late := fleet.start("d")
		fleet.share()
		_, err := late.segments.Check(time.Now(), []suspect.Segment{bad})
		fleet.Expect(errors.Is(err, suspect.ErrRefused)).To(gomega.BeTrue())
	})
}
