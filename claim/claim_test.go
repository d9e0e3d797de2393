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

// inSimulation runs a test in virtual time with three instances whose clocks are correct.
func inSimulation(t *testing.T, test func(g *gomega.WithT, sim *simulation, id string)) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(1, make([]time.Duration, 3))
		defer sim.stop()
		test(gomega.NewWithT(t), sim, newKey(rand.New(rand.NewPCG(1, 3)), time.Now(), true))
	})
}

func withTimeout(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	time.AfterFunc(2*d, cancel)
	return ctx
}

func respondAfter(id string, after time.Duration) SendFunc {
	return func(context.Context) (*Response, error) {
		time.Sleep(after)
		return &Response{Status: 201, Body: []byte(id)}, nil
	}
}

func failOnSend(context.Context) (*Response, error) { panic("sent a second time") }

// Guards against duplicate requests that execute the order again or get no response, while the order is in flight,
// after it has completed, and after the owner has died.
func TestRepeatsGetTheFirstAnswer(t *testing.T) {
	inSimulation(t, func(g *gomega.WithT, sim *simulation, id string) {
		var first sync.WaitGroup
		first.Go(func() {
			sim.procs[0].claimer.Run(withTimeout(time.Minute), id, Fingerprint{}, respondAfter(id, 9*time.Second))
		})
		time.Sleep(time.Second)
		for _, p := range sim.procs {
			resp, err := p.claimer.Run(withTimeout(20*time.Second), id, Fingerprint{}, failOnSend)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(resp).To(gomega.Equal(&Response{Status: 201, Body: []byte(id)}))
		}
		first.Wait()
		sim.procs[0].kill()
		_, err := sim.procs[1].claimer.Run(withTimeout(20*time.Second), id, Fingerprint{}, failOnSend)
		g.Expect(err).To(gomega.MatchError(errAlreadyCompleted()))
	})
}

// Guards against an order claimed by a dead owner being run by another instance or reported as not run.
func TestClaimOfDeadOwnerIsUnknown(t *testing.T) {
	inSimulation(t, func(g *gomega.WithT, sim *simulation, id string) {
		go sim.procs[0].claimer.Run(withTimeout(time.Minute), id, Fingerprint{}, func(context.Context) (*Response, error) {
			<-sim.ended
			return nil, errBroken
		})
		time.Sleep(2 * time.Second)
		sim.procs[0].kill()
		_, err := sim.procs[1].claimer.Run(withTimeout(20*time.Second), id, Fingerprint{}, failOnSend)
		g.Expect(err).To(gomega.HaveField("Code", CodeOwnerUnreachable))
		g.Expect(err).To(gomega.HaveField("Run", RunUnknown))
	})
}

// Guards against a wrong run state or error for requests that are refused before the key is claimed.
func TestRefusals(t *testing.T) {
	inSimulation(t, func(g *gomega.WithT, sim *simulation, id string) {
		run := func(id string, fingerprint Fingerprint) *Error {
			_, err := sim.procs[0].claimer.Run(withTimeout(time.Second), id, fingerprint, respondAfter(id, 0))
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
		_, err := sim.procs[1].claimer.Run(withTimeout(time.Second), id, Fingerprint{2}, failOnSend)
		g.Expect(err).To(gomega.MatchError(errKeyReused()))
	})
}

// Guards against an outcome that is lost because the caller disconnected, and against a Stop that does not wait until
// the outcome is recorded.
func TestOutcomeIsRecordedAfterHangUpAndStop(t *testing.T) {
	inSimulation(t, func(g *gomega.WithT, sim *simulation, id string) {
		ctx, disconnect := context.WithDeadline(context.Background(), time.Now().Add(time.Minute))
		time.AfterFunc(time.Second, disconnect)
		_, err := sim.procs[0].claimer.Run(ctx, id, Fingerprint{}, func(ctx context.Context) (*Response, error) {
			time.Sleep(5 * time.Second)
			g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred(), "a disconnected caller must not interrupt the order")
			return respondAfter(id, 0)(ctx)
		})
		g.Expect(err).To(gomega.HaveField("Run", RunUnknown))
		g.Expect(sim.procs[0].claimer.Stop(withTimeout(time.Minute))).To(gomega.Succeed())
		_, err = sim.procs[0].claimer.Run(withTimeout(time.Second), id, Fingerprint{}, failOnSend)
		g.Expect(err).To(gomega.HaveField("Code", CodeStopping))
		sim.procs[0].kill()
		_, err = sim.procs[1].claimer.Run(withTimeout(20*time.Second), id, Fingerprint{}, failOnSend)
		g.Expect(err).To(gomega.MatchError(errAlreadyCompleted()))
	})
}

// Guards against orders that, in a store outage, fail immediately or are reported as not_run, or that cannot run after
// it.
func TestOutageDelaysOrders(t *testing.T) {
	inSimulation(t, func(g *gomega.WithT, sim *simulation, id string) {
		sim.outage = true
		started := time.Now()
		_, err := sim.procs[0].claimer.Run(withTimeout(4*time.Second), id, Fingerprint{}, failOnSend)
		g.Expect(err).To(gomega.HaveField("Run", RunUnknown))
		g.Expect(time.Since(started)).To(gomega.Equal(4 * time.Second))
		time.AfterFunc(3*time.Second, sim.clearFaults)
		_, err = sim.procs[0].claimer.Run(withTimeout(10*time.Second), id, Fingerprint{}, respondAfter(id, 0))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	})
}

// Guards against orders that fail because the writer has stopped or is cut off from the store.
func TestUnusableWriterIsBypassed(t *testing.T) {
	inSimulation(t, func(g *gomega.WithT, sim *simulation, _ string) {
		random := rand.New(rand.NewPCG(4, 4))
		cutOff := memtopo.New(memtopo.FaultFunc(func(topo.Op, string) memtopo.Fault { return memtopo.Fault{Refuse: true} }))
		sim.procs[0].claimer.Stop(withTimeout(time.Second))
		sim.procs[1].claimer = New(Options{Store: cutOff, View: sim.procs[1], Peers: sim.procs[1]})
		for range 20 {
			id := newKey(random, time.Now(), false)
			_, err := sim.procs[2].claimer.Run(withTimeout(10*time.Second), id, Fingerprint{}, respondAfter(id, 0))
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
	})
}

// Guards against a delayed write that takes effect after its timeout and overwrites the claims of a later write.
func TestLateWriteIsFenced(t *testing.T) {
	inSimulation(t, func(g *gomega.WithT, sim *simulation, id string) {
		var puts int
		store := memtopo.New(memtopo.FaultFunc(func(op topo.Op, _ string) memtopo.Fault {
			if op == topo.OpPut {
				if puts++; puts == 1 {
					return memtopo.Fault{Delay: time.Minute, LateBy: time.Minute}
				}
			}
			return memtopo.Fault{}
		}))
		p := sim.procs[0]
		p.claimer = New(Options{Store: store, View: soloView{p}, Peers: p})
		resp, err := p.claimer.Run(withTimeout(30*time.Second), id, Fingerprint{}, respondAfter(id, 0))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(resp.Status).To(gomega.Equal(201))
		name := slotKey(0, slotOf(mustKey(id).minute()))
		before, _ := store.Get(context.Background(), name)
		time.Sleep(2 * time.Minute)
		g.Expect(store.Get(context.Background(), name)).To(gomega.Equal(before))
	})
}

// soloView is a membership view without any live instance.
type soloView struct{ *proc }

func (a soloView) Live() []*peerpb.Member { return nil }

// Guards against a claim being accepted into a slot that holds a later minute, from which an earlier claim of the same
// key may have been removed.
func TestSlotRefusesOlderMinutes(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSlot()
	record := (&attempt{key: key{1}}).record(peerpb.ClaimState_CLAIM_STATE_CLAIMED)
	for _, minute := range []int64{5, 21} {
		_, err := s.apply(minute, record)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(s.records).To(gomega.HaveLen(1), "a later minute must remove all records of an earlier one")
	}
	_, err := s.apply(5, record)
	g.Expect(err).To(gomega.MatchError(errExpired))
	g.Expect(s.isNoOp(5, record)).To(gomega.BeTrue())
}

// Guards against unbounded memory for the results of finished orders.
func TestKeptResultsAreBounded(t *testing.T) {
	inSimulation(t, func(g *gomega.WithT, sim *simulation, _ string) {
		table := sim.procs[0].claimer.attempts
		for i := range 200 {
			a, _, _ := table.acquire(key{byte(i)}, Fingerprint{})
			table.finish(a, &Response{Body: make([]byte, maxRetainedBody+i%2)}, nil)
		}
		_, retained, bytes := table.counts()
		g.Expect(bytes).To(gomega.BeNumerically("<=", maxRetainedBytes))
		g.Expect(retained).To(gomega.BeNumerically("<", 200))
		large, acquired, _ := table.acquire(key{199}, Fingerprint{})
		g.Expect(acquired).To(gomega.BeFalse())
		g.Expect(large.err).To(gomega.Equal(errAlreadyCompleted()))
	})
}
