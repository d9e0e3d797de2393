package claim

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/topo"
	"rhubarbpoint/topo/memtopo"
)

// inWorld runs a test in virtual time with three instances whose clocks are right.
func inWorld(t *testing.T, test func(g *gomega.WithT, w *world, id string)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, make([]time.Duration, 3))
		defer w.stop()
		test(gomega.NewWithT(t), w, newKey(rand.New(rand.NewPCG(1, 3)), time.Now(), true))
	})
}

func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	time.AfterFunc(2*d, cancel)
	return ctx
}

func answered(id string, after time.Duration) SendFunc {
	return func(context.Context) (*Response, error) {
		time.Sleep(after)
		return &Response{Status: 201, Body: []byte(id)}, nil
	}
}

func mustNotSend(context.Context) (*Response, error) { panic("sent a second time") }

// Guards against repeats that are run again or get no answer: in flight, completed, and after the owner has died.
func TestRepeatsGetTheFirstAnswer(t *testing.T) {
	inWorld(t, func(g *gomega.WithT, w *world, id string) {
		var first sync.WaitGroup
		first.Go(func() { w.procs[0].claimer.Run(within(time.Minute), id, Fingerprint{}, answered(id, 9*time.Second)) })
		time.Sleep(time.Second)
		for _, p := range w.procs {
			answer, err := p.claimer.Run(within(20*time.Second), id, Fingerprint{}, mustNotSend)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(answer).To(gomega.Equal(&Response{Status: 201, Body: []byte(id)}))
		}
		first.Wait()
		w.procs[0].kill()
		_, err := w.procs[1].claimer.Run(within(20*time.Second), id, Fingerprint{}, mustNotSend)
		g.Expect(err).To(gomega.MatchError(errAlreadyCompleted()))
	})
}

// Guards against a claim of a dead owner being run by another instance or reported as not run.
func TestClaimOfDeadOwnerIsUnknown(t *testing.T) {
	inWorld(t, func(g *gomega.WithT, w *world, id string) {
		go w.procs[0].claimer.Run(within(time.Minute), id, Fingerprint{}, func(context.Context) (*Response, error) {
			<-w.ended
			return nil, errBroken
		})
		time.Sleep(2 * time.Second)
		w.procs[0].kill()
		_, err := w.procs[1].claimer.Run(within(20*time.Second), id, Fingerprint{}, mustNotSend)
		g.Expect(err).To(gomega.HaveField("Code", CodeOwnerUnreachable))
		g.Expect(err).To(gomega.HaveField("Run", RunUnknown))
	})
}

// Guards against wrong statements about requests that are refused before a claim.
func TestRefusals(t *testing.T) {
	inWorld(t, func(g *gomega.WithT, w *world, id string) {
		run := func(id string, fingerprint Fingerprint) *Error {
			_, err := w.procs[0].claimer.Run(within(time.Second), id, fingerprint, answered(id, 0))
			var failure *Error
			errors.As(err, &failure)
			return failure
		}
		g.Expect(run("b3b1f0c0-9d0e-4f7a-8a53-1b9d6e2c7f11", Fingerprint{})).To(gomega.HaveField("Run", NotRun))
		random := rand.New(rand.NewPCG(2, 2))
		for _, offset := range []time.Duration{-windowBack - time.Second, windowAhead + time.Second} {
			err := run(newKey(random, time.Now().Add(offset), false), Fingerprint{})
			g.Expect(err).To(gomega.Equal(errUnknown(CodeKeyOutsideWindow, err.Message)))
		}
		g.Expect(run(id, Fingerprint{1})).To(gomega.BeNil())
		g.Expect(run(id, Fingerprint{2})).To(gomega.Equal(errKeyReused()))
		_, err := w.procs[1].claimer.Run(within(time.Second), id, Fingerprint{2}, mustNotSend)
		g.Expect(err).To(gomega.MatchError(errKeyReused()))
	})
}

// Guards against an outcome that is lost because the caller hung up, and against a stop that does not wait for it.
func TestOutcomeIsRecordedAfterHangUpAndStop(t *testing.T) {
	inWorld(t, func(g *gomega.WithT, w *world, id string) {
		ctx, hangUp := context.WithDeadline(context.Background(), time.Now().Add(time.Minute))
		time.AfterFunc(time.Second, hangUp)
		_, err := w.procs[0].claimer.Run(ctx, id, Fingerprint{}, func(ctx context.Context) (*Response, error) {
			time.Sleep(5 * time.Second)
			g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred(), "a hang-up must not interrupt the order")
			return answered(id, 0)(ctx)
		})
		g.Expect(err).To(gomega.HaveField("Run", RunUnknown))
		g.Expect(w.procs[0].claimer.Stop(within(time.Minute))).To(gomega.Succeed())
		_, err = w.procs[0].claimer.Run(within(time.Second), id, Fingerprint{}, mustNotSend)
		g.Expect(err).To(gomega.HaveField("Code", CodeStopping))
		w.procs[0].kill()
		_, err = w.procs[1].claimer.Run(within(20*time.Second), id, Fingerprint{}, mustNotSend)
		g.Expect(err).To(gomega.MatchError(errAlreadyCompleted()))
	})
}

// Guards against orders that fail at once in a store outage, that are told not_run, or that cannot run after it.
func TestOutageDelaysOrders(t *testing.T) {
	inWorld(t, func(g *gomega.WithT, w *world, id string) {
		w.outage = true
		started := time.Now()
		_, err := w.procs[0].claimer.Run(within(4*time.Second), id, Fingerprint{}, mustNotSend)
		g.Expect(err).To(gomega.HaveField("Run", RunUnknown))
		g.Expect(time.Since(started)).To(gomega.Equal(4 * time.Second))
		time.AfterFunc(3*time.Second, w.heal)
		_, err = w.procs[0].claimer.Run(within(10*time.Second), id, Fingerprint{}, answered(id, 0))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	})
}

// Guards against orders that wait for a writer that has stopped or is cut off from the store.
func TestUnusableWriterIsBypassed(t *testing.T) {
	inWorld(t, func(g *gomega.WithT, w *world, _ string) {
		random := rand.New(rand.NewPCG(4, 4))
		cutOff := memtopo.New(memtopo.FaultFunc(func(topo.Op, string) memtopo.Fault { return memtopo.Fault{Refuse: true} }))
		w.procs[0].claimer.Stop(within(time.Second))
		w.procs[1].claimer = New(Options{Store: cutOff, View: w.procs[1], Peers: w.procs[1]})
		for range 20 {
			id := newKey(random, time.Now(), false)
			_, err := w.procs[2].claimer.Run(within(10*time.Second), id, Fingerprint{}, answered(id, 0))
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
	})
}

// Guards against a write that lands after its sender gave up: the claims of the later write must stand.
func TestLateWriteIsFenced(t *testing.T) {
	inWorld(t, func(g *gomega.WithT, w *world, id string) {
		var puts int
		store := memtopo.New(memtopo.FaultFunc(func(op topo.Op, _ string) memtopo.Fault {
			if op == topo.OpPut {
				if puts++; puts == 1 {
					return memtopo.Fault{Delay: time.Minute, Late: time.Minute}
				}
			}
			return memtopo.Fault{}
		}))
		p := w.procs[0]
		p.claimer = New(Options{Store: store, View: alone{p}, Peers: p})
		answer, err := p.claimer.Run(within(30*time.Second), id, Fingerprint{}, answered(id, 0))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(answer.Status).To(gomega.Equal(201))
		name := slotKey(0, slotOf(mustKey(id).minute()))
		before, _ := store.Get(context.Background(), name)
		time.Sleep(2 * time.Minute)
		g.Expect(store.Get(context.Background(), name)).To(gomega.Equal(before))
	})
}

// alone is a view without other instances.
type alone struct{ *proc }

func (a alone) Live() []*peerpb.Member { return nil }

// Guards against a claim in a slot whose minute has passed, where an earlier claim of the key may have been dropped.
func TestSlotRefusesOlderMinutes(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSlot()
	record := (&attempt{key: key{1}}).record(peerpb.ClaimState_CLAIM_STATE_CLAIMED)
	for _, minute := range []int64{5, 21} {
		_, err := s.apply(minute, record)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(s.records).To(gomega.HaveLen(1), "an older minute is replaced as a whole")
	}
	_, err := s.apply(5, record)
	g.Expect(err).To(gomega.MatchError(errExpired))
	g.Expect(s.settled(5, record)).To(gomega.BeTrue())
}

// Guards against results that fill the memory.
func TestKeptResultsAreBounded(t *testing.T) {
	inWorld(t, func(g *gomega.WithT, w *world, _ string) {
		table := w.procs[0].claimer.attempts
		for i := range 200 {
			a, _, _ := table.enter(key{byte(i)}, Fingerprint{})
			table.finish(a, &Response{Body: make([]byte, maxKeptBody+i%2)}, nil)
		}
		_, kept, bytes := table.counts()
		g.Expect(bytes).To(gomega.BeNumerically("<=", maxKeptBytes))
		g.Expect(kept).To(gomega.BeNumerically("<", 200))
		large, mine, _ := table.enter(key{199}, Fingerprint{})
		g.Expect(mine).To(gomega.BeFalse())
		g.Expect(large.err).To(gomega.Equal(errAlreadyCompleted()))
	})
}
