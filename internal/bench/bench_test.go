package bench

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/engine"
	entrypkg "rhubarbpoint/entry"
)

func shortTrace(seed uint64, load loadProfile) *Trace {
	const length = 120 * time.Second
	return &Trace{
		Name: "short", Length: length, Faults: defaultFaults(), Requests: newGenerator(seed).generate(length, load),
	}
}

// Guards against results that differ between two runs with the same seed.
func TestSameSeedSameResult(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, policy := range Policies() {
		a := Run(shortTrace(3, shifting), policy, 3, EntriesPerRegion)
		b := Run(shortTrace(3, shifting), policy, 3, EntriesPerRegion)
		g.Expect(a).To(gomega.Equal(b), policy.Name)
	}
}

// Guards against requests that are counted twice or not at all.
func TestEachRequestEndsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	trace := shortTrace(4, evenLoad)
	trace.Faults.Withdrawn = []Withdrawal{{Engine: 1, From: 30 * time.Second, To: 60 * time.Second}}
	for _, policy := range Policies() {
		r := Run(trace, policy, 4, EntriesPerRegion)
		ended := r.Good + r.LateFirst + r.LateGaps + r.Expired + r.Refused
		if policy.routing == routeTable { // the baselines' queues are not empty a minute after the trace
			g.Expect(ended).To(gomega.Equal(r.Requests), policy.Name)
		}
		g.Expect(ended).To(gomega.BeNumerically("<=", r.Requests), policy.Name)
	}
}

func evenLoad(int, time.Duration) rates { return evenMix }

// Guards against a trace file that is not read as it was written.
func TestTraceFileRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	trace := shortTrace(5, evenLoad)
	var file bytes.Buffer
	g.Expect(WriteTrace(&file, trace.Requests)).To(gomega.Succeed())
	read, err := ReadTrace(&file)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(read).To(gomega.Equal(trace.Requests))
}

// Guards against invalid trace lines that are accepted.
func TestBadTraceLines(t *testing.T) {
	g := gomega.NewWithT(t)
	good := `{"at_ms":1,"workload":"w","workspace":"a","model":"m","region":"r1","prompt_tokens":5,"output_tokens":1,"deadline_ms":9}`
	_, err := ReadTrace(strings.NewReader(good))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, change := range [][2]string{
		{`"prompt_tokens":5`, `"prompt_tokens":0`}, {`"output_tokens":1`, `"output_tokens":0`},
		{`"deadline_ms":9`, `"deadline_ms":0`}, {`"at_ms":1`, `"at_ms":-1`}, {`"region":"r1"`, `"region":""`},
		{`"prompt_tokens":5`, `"prompt_tokens":5,"prefix":["1"]`}, {`{"at_ms"`, `{at_ms`},
	} {
		_, err := ReadTrace(strings.NewReader(strings.Replace(good, change[0], change[1], 1)))
		g.Expect(err).To(gomega.HaveOccurred(), change[1])
	}
}

// Guards against recorded traces that cannot be replayed: instances record times since the Unix epoch and the names of
// real regions, while the benchmark has three regions of its own.
func TestRecordedTrace(t *testing.T) {
	g := gomega.NewWithT(t)
	line := func(at float64, region string) string {
		data, err := json.Marshal(entrypkg.Record{
			AtMillis: at, Workload: "w", Workspace: "a", Model: "real", Region: region, PromptTokens: 4000,
			Prefix: []string{"ff"}, OutputTokens: 2, MaxTokens: 4, DeadlineMillis: 9,
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return string(data) + "\n"
	}
	three := line(1.7e12+5, "north") + line(1.7e12, "south") + line(1.7e12+9, "east")
	requests, err := ReadTrace(strings.NewReader(three))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect([]float64{requests[0].AtMS, requests[1].AtMS, requests[2].AtMS}).To(gomega.Equal([]float64{0, 5, 9}))
	g.Expect([]string{requests[0].Region, requests[1].Region, requests[2].Region}).To(gomega.Equal([]string{"r3", "r2", "r1"}))
	g.Expect(requests[0].Model).To(gomega.Equal(modelName))
	_, err = ReadTrace(strings.NewReader(three + line(1.7e12, "west")))
	g.Expect(err).To(gomega.HaveOccurred(), "more regions than the benchmark has")
}

// Guards against a dynamic program that misses the best sequence, on a small case whose solution is known.
func TestBestPath(t *testing.T) {
	g := gomega.NewWithT(t)
	result := func(values ...int) *Result { return &Result{GoodBySlot: [][]int{values}} }
	fixed := make([]*Result, len(regionStates))
	for i := range fixed {
		fixed[i] = result(0, 0, 0, 0, 0, 0)
	}
	ppd := slices.Index(regionStates, engineRoles{prefillRole, prefillRole, decodeRole})
	pdd := slices.Index(regionStates, engineRoles{prefillRole, decodeRole, decodeRole})
	fixed[ppd] = result(9, 9, 9, 1, 1, 1)
	fixed[pdd] = result(1, 1, 1, 9, 9, 9)
	partial := []*Result{result(0, 0, 0, 0, 0, 0), result(0, 0, 0, 0, 0, 0), result(0, 0, 0, 0, 0, 0), result(2, 2, 2, 2, 2, 2)}
	value, path := bestPath(fixed, partial, 0, 1)
	g.Expect(value).To(gomega.Equal(47.0)) // three time slots of 9, one of 2 during the change, two of 9
	_, moves := schedule(path)
	g.Expect(moves).To(gomega.HaveLen(1))
	g.Expect(moves[0].from).To(gomega.Equal(prefillRole))
	g.Expect(moves[0].to).To(gomega.Equal(decodeRole))
}

// Guards against an engine model that loses or repeats cache events when its role changes.
func TestBlockCacheEvents(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newBlockCache(3)
	c.store([]uint64{1, 2, 3, 4})
	g.Expect(c.cached([]uint64{1, 2, 3, 4})).To(gomega.Equal(3)) // the end of the prefix is evicted first
	c.reset(2)
	live := map[uint64]bool{}
	for _, e := range c.pending {
		g.Expect(live[e.Block]).To(gomega.Equal(e.Evicted))
		live[e.Block] = !e.Evicted
	}
	for block, present := range live {
		g.Expect(present).To(gomega.BeFalse(), "block %d", block)
	}
	g.Expect(engine.BlockTokens).To(gomega.Equal(4000))
}
