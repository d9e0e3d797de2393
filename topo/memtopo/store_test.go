package memtopo_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/topo"
	"rhubarbpoint/topo/memtopo"
)

// Guards against a fake that lets a stale write through, which would hide missing checks in the code under test.
func TestPutComparesRevisions(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, s := context.Background(), memtopo.New(nil)
	first, err := s.Put(ctx, "k", []byte("a"), 0, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = s.Put(ctx, "k", []byte("b"), 0, 0)
	g.Expect(err).To(gomega.MatchError(topo.ErrConflict))
	second, err := s.Put(ctx, "k", []byte("b"), first, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(second).To(gomega.BeNumerically(">", first))
	g.Expect(s.Delete(ctx, "k", first)).To(gomega.MatchError(topo.ErrConflict))
	e, err := s.Get(ctx, "k")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(e).To(gomega.Equal(topo.Entry{Key: "k", Value: []byte("b"), Revision: second, Created: first}))
	_, err = s.Put(ctx, "k", make([]byte, topo.MaxValueBytes+1), second, 0)
	g.Expect(err).To(gomega.MatchError(topo.ErrTooLarge))
}

// Guards against keys that outlive their lease, or a lease that expires although it is kept alive.
func TestLeaseExpiryDeletesItsKeysAndWakesWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, s := t.Context(), memtopo.New(nil)
		id, err := s.Grant(ctx, 10*time.Second)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		revision, err := s.Put(ctx, "k", []byte("a"), 0, id)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(9 * time.Second)
		g.Expect(s.KeepAlive(ctx, id)).To(gomega.Succeed())
		started := time.Now()
		changed, last, err := s.Watch(ctx, "k", revision, time.Minute)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(time.Since(started)).To(gomega.Equal(10 * time.Second))
		g.Expect(changed).To(gomega.Equal([]topo.Entry{{Key: "k", Revision: last}}))
		g.Expect(last).To(gomega.BeNumerically(">", revision))
		g.Expect(s.KeepAlive(ctx, id)).To(gomega.MatchError(topo.ErrLeaseNotFound))
		_, err = s.Put(ctx, "k", []byte("a"), 0, id)
		g.Expect(err).To(gomega.MatchError(topo.ErrLeaseNotFound))
	})
}

// Guards against a watch that misses a change made while it waits, or that is counted more than once.
func TestWatchWaitsForTheNextChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, s := t.Context(), memtopo.New(nil)
		time.AfterFunc(3*time.Second, func() { s.Put(ctx, "other", []byte("x"), 0, 0) })
		time.AfterFunc(4*time.Second, func() { s.Put(ctx, "key/1", []byte("x"), 0, 0) })
		started := time.Now()
		changed, last, err := s.Watch(ctx, "key/", 0, 10*time.Second)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(time.Since(started)).To(gomega.Equal(4 * time.Second))
		g.Expect(changed).To(gomega.HaveLen(1))
		changed, again, err := s.Watch(ctx, "key/", last, 10*time.Second)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(changed).To(gomega.BeEmpty())
		g.Expect(again).To(gomega.Equal(last))
		g.Expect(s.Calls()[topo.OpWatch]).To(gomega.BeEquivalentTo(2))
	})
}

// Guards against injected faults whose errors reveal more about the outcome than the loss of a response does.
func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var fault memtopo.Fault
		ctx := t.Context()
		s := memtopo.New(memtopo.FaultFunc(func(topo.Op, string) memtopo.Fault { return fault }))
		fault = memtopo.Fault{LoseResponse: true, LateBy: 5 * time.Second}
		_, err := s.Put(ctx, "k", []byte("late"), 0, 0)
		g.Expect(err).To(gomega.MatchError(topo.ErrAmbiguous))
		fault = memtopo.Fault{LoseResponse: true}
		_, err = s.Get(ctx, "k")
		g.Expect(err).To(gomega.MatchError(topo.ErrUnavailable))
		fault = memtopo.Fault{}
		_, err = s.Get(ctx, "k")
		g.Expect(err).To(gomega.MatchError(topo.ErrNotFound))
		time.Sleep(6 * time.Second)
		e, err := s.Get(ctx, "k")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		fault = memtopo.Fault{Delay: 3 * time.Second, LateBy: time.Second}
		short, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		_, err = s.Put(short, "k", []byte("later"), e.Revision, 0)
		g.Expect(err).To(gomega.MatchError(topo.ErrAmbiguous))
		fault = memtopo.Fault{}
		time.Sleep(2 * time.Second)
		e, err = s.Get(ctx, "k")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(e.Value)).To(gomega.Equal("later"))
	})
}

// Guards against a list without lag, or one that shows the ID of an ended process again.
func TestDirectoryLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := memtopo.NewDirectory(5 * time.Second)
		g.Expect(d.Register(topo.Instance{ID: "a"})).To(gomega.Succeed())
		g.Expect(d.Register(topo.Instance{ID: "b"})).To(gomega.Succeed())
		g.Expect(d.Instances(t.Context())).To(gomega.BeEmpty())
		time.Sleep(5 * time.Second)
		g.Expect(d.Instances(t.Context())).To(gomega.HaveLen(2))
		g.Expect(d.MarkLeaving("a")).To(gomega.Succeed())
		g.Expect(d.Remove("b")).To(gomega.Succeed())
		g.Expect(d.Register(topo.Instance{ID: "b"})).To(gomega.MatchError(topo.ErrConflict))
		g.Expect(d.Instances(t.Context())).To(gomega.Equal([]topo.Instance{{ID: "a"}, {ID: "b"}}))
		time.Sleep(5 * time.Second)
		g.Expect(d.Instances(t.Context())).To(gomega.Equal([]topo.Instance{{ID: "a", Leaving: true}}))
	})
}

// Guards against a watch that misses changes because the store has discarded its history.
func TestWatchFromACompactedRevisionFails(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memtopo.New(nil)
	first, err := s.Put(context.Background(), "a", []byte("1"), 0, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	last, err := s.Put(context.Background(), "b", []byte("1"), 0, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s.Compact()
	_, _, err = s.Watch(context.Background(), "", first, time.Millisecond)
	g.Expect(err).To(gomega.MatchError(topo.ErrCompacted))
	_, _, err = s.Watch(context.Background(), "", last, time.Millisecond)
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// Guards against a restored store that goes on with revisions, watches, conditions or leases of the era before.
func TestRestoreBeginsAnEra(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := t.Context()
	s := memtopo.New(nil)
	first, err := s.Put(ctx, "a", []byte("1"), 0, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	lease, err := s.Grant(ctx, time.Minute)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	older := s.Copy()
	second, err := s.Put(ctx, "a", []byte("2"), first, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	lost, err := s.Grant(ctx, time.Minute)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s.Restore(older)
	restored, err := s.Get(ctx, "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(restored.Value)).To(gomega.Equal("1"))
	g.Expect(restored.Revision).To(gomega.BeNumerically(">", second))
	g.Expect(topo.Count(restored.Revision)).To(gomega.Equal(first))
	for _, expect := range []int64{first, second} {
		_, err = s.Put(ctx, "a", []byte("3"), expect, 0)
		g.Expect(err).To(gomega.MatchError(topo.ErrConflict))
	}
	_, _, err = s.Watch(ctx, "", second, 0)
	g.Expect(err).To(gomega.MatchError(topo.ErrRestored))
	g.Expect(s.KeepAlive(ctx, lost)).To(gomega.MatchError(topo.ErrLeaseNotFound))
	g.Expect(s.KeepAlive(ctx, lease)).To(gomega.MatchError(topo.ErrRestored))
	g.Expect(s.KeepAlive(ctx, lease)).To(gomega.Succeed())
}
