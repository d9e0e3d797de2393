package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"rhubarbpoint/place"
	"rhubarbpoint/relay"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

var (
	model = &traffic.Service{Name: "model", Engine: &traffic.Engine{Slots: 128, KVTokens: 800_000}}
	plain = &traffic.Service{Name: "plain"}
)

// engines returns prefill and decode replicas in one zone.
func engines(prefill, decode int) []*upstream.Replica {
	var list []*upstream.Replica
	for i := range prefill + decode {
		r := &upstream.Replica{ID: fmt.Sprintf("i-%d", i), Service: "model", Region: "r", Zone: "z", Stage: upstream.Decode}
		if i < prefill {
			r.Stage = upstream.Prefill
		}
		list = append(list, r)
	}
	return list
}

func newBalancer(seed uint64) *place.Balancer {
	return place.NewBalancer(place.Options{Region: "r", Zone: "z", Seed: seed})
}

// prompt returns a long prompt whose last segment is unique to the request. Requests with the same prefix number share
// the segments before it.
func prompt(prefix, request uint64) relay.Prompt {
	return relay.Prompt{Tokens: 9000, Segments: []relay.PromptSegment{
		{ID: 1, Tokens: 2500}, {ID: 100 + prefix, Tokens: 3800}, {ID: 1_000_000 + request, Tokens: 2700},
	}}
}

// newRequest returns a request with a deadline in two seconds and a target latency of 300 ms.
func newRequest(now time.Time, p relay.Prompt) *place.Request {
	return &place.Request{Prompt: p, Deadline: now.Add(2 * time.Second), Target: 300 * time.Millisecond}
}

// Guards against a burst of long prompts that slows down requests that are being decoded.
func TestLongAndShortPromptsUseDifferentReplicas(t *testing.T) {
	g := gomega.NewWithT(t)
	now, balancer, list := time.Unix(0, 0), newBalancer(1), engines(1, 4)
	long, short := map[string]bool{}, map[string]bool{}
	for i := range uint64(200) {
		p, err := balancer.Choose(now, model, list, newRequest(now, prompt(i, i)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		if p.Prefill != nil {
			long[p.Prefill.ID] = true
		} else {
			long[p.Replica.ID] = true
		}
		p, err = balancer.Choose(now, model, list, newRequest(now, relay.Prompt{Tokens: 200}))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		short[p.Replica.ID] = true
	}
	for id := range long {
		g.Expect(short).NotTo(gomega.HaveKey(id))
	}
	g.Expect(len(long) + len(short)).To(gomega.BeNumerically(">=", 4))
}

// Guards against long prompts on decode replicas whose batch slots are needed for decoding, although there are prefill
// replicas. With large batches, decode replicas process long prompts as well.
func TestLongPromptsLeaveScarceDecodeSlotsFree(t *testing.T) {
	g := gomega.NewWithT(t)
	now, balancer, list := time.Unix(0, 0), newBalancer(1), engines(3, 5)
	small := &traffic.Service{Name: "model", Engine: &traffic.Engine{Slots: 6, KVTokens: 800_000}}
	decoding := map[string]bool{}
	for i := range uint64(300) {
		p, err := balancer.Choose(now, small, list, newRequest(now, prompt(i, i)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(p.Prefill).NotTo(gomega.BeNil())
		balancer.RecordSend(now, p.Replica, 0)
		decoding[p.Replica.ID] = true
	}
	g.Expect(decoding).To(gomega.HaveLen(5))

	localPrefill := map[string]bool{}
	for i := range uint64(300) {
		p, err := newBalancer(i).Choose(now, model, list, newRequest(now, prompt(i, i)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		localPrefill[p.Replica.ID] = localPrefill[p.Replica.ID] || p.Prefill == nil
	}
	g.Expect(localPrefill).To(gomega.ContainElement(true), "large batches have slots to spare")
}

// Guards against requests that get no replica because a fleet has no prefill replicas or few decode replicas. Without
// any decode replica the result must be ErrNoReplica.
func TestEveryMixOfStagesServes(t *testing.T) {
	for _, c := range []struct{ prefill, decode int }{{0, 1}, {0, 3}, {3, 1}, {1, 2}} {
		g := gomega.NewWithT(t)
		now := time.Unix(0, 0)
		for i := range uint64(20) {
			for _, p := range []relay.Prompt{prompt(i, i), {Tokens: 100}} {
				placed, err := newBalancer(i).Choose(now, model, engines(c.prefill, c.decode), newRequest(now, p))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(placed.Replica.Stage).NotTo(gomega.Equal(upstream.Prefill), "a prefill replica does not decode")
			}
		}
	}
	_, err := newBalancer(1).Choose(time.Unix(0, 0), model, engines(2, 0), newRequest(time.Unix(0, 0), prompt(1, 1)))
	if !errors.Is(err, place.ErrNoReplica) {
		t.Errorf("got %v", err)
	}
}

// Guards against instances that send the same shared prefix to different replicas, and against an uneven distribution
// of prefixes.
func TestInstancesAgreeOnPreferredReplica(t *testing.T) {
	g := gomega.NewWithT(t)
	now, list := time.Unix(0, 0), engines(3, 0)
	list = append(list, &upstream.Replica{ID: "d", Service: "model", Region: "r", Zone: "z", Stage: upstream.Decode})
	prefixes := map[string]int{}
	for prefix := range uint64(300) {
		var first string
		for instance := range uint64(9) {
			p, err := newBalancer(instance).Choose(now, model, list, newRequest(now, prompt(prefix, instance)))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			if first == "" {
				first = p.Prefill.ID
			}
			g.Expect(p.Prefill.ID).To(gomega.Equal(first))
		}
		prefixes[first]++
	}
	for id, n := range prefixes {
		g.Expect(n).To(gomega.BeNumerically("~", 100, 30), id)
	}
}

// serialReplica is a replica that processes prompts one after another.
type serialReplica struct{ idleAt time.Time }

// simulateLoad sends long prompts at a multiple of what the prefill replicas can process and returns the shares of all
// requests that got their first token within the target, got it later, and were refused.
func simulateLoad(overload float64) (inTime, late, refused float64) {
	const tokensPerMs, requests = 300.0, 3000
	balancer, list, random := newBalancer(1), engines(3, 1), rand.New(rand.NewPCG(1, 1))
	servers := map[string]*serialReplica{}
	// Preferred replicas have the shared segments cached, so a request costs its last segment at a prefill replica.
	gap := time.Duration(2700 / tokensPerMs / 3 / overload * float64(time.Millisecond))
	now := time.Unix(0, 0)
	type done struct {
		at       time.Time
		place    place.Placement
		sent     time.Time
		prompt   relay.Prompt
		ownAhead int // the result of RecordSend
	}
	var pending []done
	for i := range uint64(requests) {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(gap)))
		rest := pending[:0]
		for _, d := range pending {
			if d.at.After(now) {
				rest = append(rest, d)
				continue
			}
			balancer.RecordPrefill(d.at, d.place.Prefill, model, &d.prompt, d.place.UncachedTokens, d.ownAhead, d.at.Sub(d.sent))
			balancer.RecordSendEnd(d.place.Prefill, 0)
		}
		pending = rest
		p := prompt(random.Uint64N(200), i)
		placed, err := balancer.Choose(now, model, list, newRequest(now, p))
		if err != nil {
			refused++
			continue
		}
		server := servers[placed.Prefill.ID]
		if server == nil {
			server = &serialReplica{}
			servers[placed.Prefill.ID] = server
		}
		start := now
		if server.idleAt.After(start) {
			start = server.idleAt
		}
		server.idleAt = start.Add(time.Duration(float64(placed.UncachedTokens) / tokensPerMs * float64(time.Millisecond)))
		ownAhead := balancer.RecordSend(now, placed.Prefill, placed.UncachedTokens)
		pending = append(pending, done{server.idleAt, placed, now, p, ownAhead})
		if server.idleAt.Sub(now) <= 300*time.Millisecond {
			inTime++
		} else {
			late++
		}
	}
	return inTime / requests, late / requests, refused / requests
}

// Simulates bursts of long prompts of up to three times what the fleet can process. Guards against a queue in which
// every request becomes late, and against refusals while there is spare capacity.
func TestBurstIsServedUpToCapacity(t *testing.T) {
	for _, overload := range []float64{0.5, 0.8, 1.5, 3} {
		g := gomega.NewWithT(t)
		inTime, late, refused := simulateLoad(overload)
		t.Logf("load %.1f: in time %.3f, late %.3f, refused %.3f", overload, inTime, late, refused)
		if overload < 1 {
			g.Expect(refused).To(gomega.BeNumerically("<", 0.02))
		}
		g.Expect(late).To(gomega.BeNumerically("<", 0.05))
		g.Expect(inTime).To(gomega.BeNumerically(">", 0.8*min(1, 1/overload)))
	}
}

// Guards against choosing a plain replica with a long queue, a distant one without need, or one that has just refused
// requests.
func TestPlainRequestsGoToEarliestReplica(t *testing.T) {
	g := gomega.NewWithT(t)
	now, balancer := time.Unix(0, 0), newBalancer(1)
	near := &upstream.Replica{ID: "near", Service: "plain", Region: "r", Zone: "z", Slots: 6}
	far := &upstream.Replica{ID: "far", Service: "plain", Region: "q", Zone: "y", Slots: 6}
	list := []*upstream.Replica{near, far}
	chosen := func() string {
		p, err := balancer.Choose(now, plain, list, newRequest(now, relay.Prompt{}))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return p.Replica.ID
	}
	g.Expect(chosen()).To(gomega.Equal("near"))
	balancer.UpdateLoad(now, near, &relay.Load{Running: 6, Waiting: 20, Slots: 6})
	g.Expect(chosen()).To(gomega.Equal("far"))
	now = now.Add(3 * time.Second)
	g.Expect(chosen()).To(gomega.Equal("near"), "the report is old")
	for range 5 {
		balancer.RecordSendResult(now, near, true)
	}
	g.Expect(chosen()).To(gomega.Equal("far"))
}

// Guards against prompts that are processed repeatedly at a replica whose KV cache handoffs fail.
func TestFailedHandoffsAreAvoided(t *testing.T) {
	g := gomega.NewWithT(t)
	now, balancer, list := time.Unix(0, 0), newBalancer(1), engines(2, 1)
	p, err := balancer.Choose(now, model, list, newRequest(now, prompt(1, 1)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	preferred := p.Prefill
	for range 2 {
		balancer.RecordHandoff(now, preferred, false)
	}
	p, err = balancer.Choose(now, model, list, newRequest(now, prompt(1, 2)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(p.Prefill).NotTo(gomega.Equal(preferred))
	now = now.Add(10 * time.Second)
	p, err = balancer.Choose(now, model, list, newRequest(now, prompt(1, 3)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(p.Prefill).To(gomega.Equal(preferred))
}
