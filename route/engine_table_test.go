package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"rhubarbpoint/config"
	"rhubarbpoint/engine"
	"rhubarbpoint/peer/peerpb"
)

var epoch = time.Unix(1_700_000_000, 0)

func testDocument(engines ...string) *config.Document {
	doc := &config.Document{}
	for _, id := range engines {
		doc.Models.Engines = append(doc.Models.Engines, config.Engine{ID: id, Address: id + ":1", Region: id[:2], Zone: id[:2]})
	}
	doc.Models.Models = []config.Model{{Name: "m", Version: "1"}}
	return doc
}

func testTable(engines ...string) *EngineTable {
	t := NewEngineTable(Options{Region: "r1", Zone: "r1", Seed: 1})
	t.SetDocument(testDocument(engines...))
	for _, id := range engines {
		t.UpdateLoad(epoch, idle(id, epoch, engine.RoleMixed))
	}
	return t
}

func idle(id string, at time.Time, role engine.Role) *peerpb.UpstreamLoad {
	return &peerpb.UpstreamLoad{
		Upstream: id, AtUnixMilli: at.UnixMilli(), EpochHash: 1, Role: RoleNumber(role), PrefillTokensPerSecond: 20000,
		MaxRunning: 32, Models: []uint32{0},
	}
}

func testRequest(id string) *Request {
	return &Request{ID: id, Model: "m", Version: "1", PromptTokens: 1000, MaxTokens: 16}
}

// Guards against new requests for an engine that is leaving, draining, excluded or about to be changed, after any
// sequence of events.
func TestLeavingEngineIsNeverChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := []string{"r1a", "r1b", "r1c", "r2a"}
		table := testTable(engines...)
		excluded := map[string]bool{}
		now := epoch
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			// Two reports of one engine never have the same time; the table ignores the second one.
			now = now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
			id := rapid.SampledFrom(engines).Draw(t, "engine")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				table.SetLeaving(id, 1)
				excluded[id] = true
			case 1:
				load := idle(id, now, engine.RoleMixed)
				load.EpochHash = 1
				load.Draining = true
				table.UpdateLoad(now, load)
				excluded[id] = true
			case 2:
				table.SetPlanned(now, id, now.Add(time.Hour))
				excluded[id] = true
			default:
				req := testRequest(fmt.Sprint(i))
				req.Excluded = map[string]bool{"r1b": rapid.Bool().Draw(t, "avoid")}
				choice, err := table.Pick(now, req)
				if err != nil || choice.HoldFor > 0 {
					continue
				}
				for _, chosen := range []string{choice.EngineID, choice.PrefillID} {
					if excluded[chosen] || req.Excluded[chosen] {
						t.Fatalf("chose %s", chosen)
					}
				}
				table.Sent(now, choice, req)
			}
		}
	})
}

// Guards against an engine that stays excluded after it has started again.
func TestNewEpochEndsLeaving(t *testing.T) {
	g := gomega.NewWithT(t)
	table := testTable("r1a")
	table.SetLeaving("r1a", 1)
	_, err := table.Pick(epoch, testRequest("1"))
	g.Expect(err).To(gomega.MatchError(ErrNoEngine))
	same := idle("r1a", epoch.Add(time.Millisecond), engine.RoleMixed)
	table.UpdateLoad(epoch.Add(time.Millisecond), same)
	_, err = table.Pick(epoch.Add(time.Millisecond), testRequest("1"))
	g.Expect(err).To(gomega.MatchError(ErrNoEngine))
	load := idle("r1a", epoch.Add(time.Second), engine.RoleMixed)
	load.EpochHash = 2
	table.UpdateLoad(epoch.Add(time.Second), load)
	_, err = table.Pick(epoch.Add(time.Second), testRequest("2"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// Guards against an exclusion for a planned change that outlives the change or its holder.
func TestPlannedExclusionEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	table := testTable("r1a", "r1b")
	table.SetPlanned(epoch, "r1a", epoch.Add(20*time.Second))
	g.Expect(table.Available(epoch)).To(gomega.Equal(1))
	g.Expect(table.Available(epoch.Add(21 * time.Second))).To(gomega.Equal(2))
	table.UpdateLoad(epoch.Add(9*time.Second), idle("r1a", epoch.Add(9*time.Second), engine.RoleDecode))
	g.Expect(table.Available(epoch.Add(9 * time.Second))).To(gomega.Equal(2))
}

// Guards against a request that is refused although the only remaining engine has merely failed once, and against one
// that goes to an engine that must never be chosen.
func TestFailedEngineIsLastResort(t *testing.T) {
	g := gomega.NewWithT(t)
	table := testTable("r1a")
	req := testRequest("1")
	req.Deprioritized = map[string]bool{"r1a": true}
	choice, err := table.Pick(epoch, req)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(choice.EngineID).To(gomega.Equal("r1a"))
	req.Excluded = map[string]bool{"r1a": true}
	_, err = table.Pick(epoch, req)
	g.Expect(err).To(gomega.MatchError(ErrNoEngine))
}

// Guards against a long prompt that goes to an engine without its prefix although the engine that has it cached is
// idle.
func TestPrefixAffinity(t *testing.T) {
	g := gomega.NewWithT(t)
	table := testTable("r1a", "r1b", "r1c")
	req := testRequest("1")
	req.PromptTokens, req.PrefixHashes = 17000, []uint64{1, 2, 3, 4}
	table.UpdateCache("r1b", &engine.CacheEvents{Epoch: "x", Last: 4, Lost: true, Events: []engine.CacheEvent{
		{Seq: 1, Block: 1}, {Seq: 4, Block: 4}, // the events of blocks 2 and 3 are lost
	}})
	for range 20 {
		choice, err := table.Pick(epoch, req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(choice.UncachedTokens).To(gomega.Equal(1000))
		g.Expect([]string{choice.EngineID, choice.PrefillID}).To(gomega.ContainElement("r1b"))
	}
	table.UpdateCache("r1b", &engine.CacheEvents{Epoch: "x", Last: 5, Events: []engine.CacheEvent{
		{Seq: 5, Block: 2, Evicted: true},
	}})
	choice, err := table.Pick(epoch, req)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(choice.UncachedTokens).To(gomega.BeNumerically(">=", 13000))
}

// Guards against a request that goes to another region although its own region would serve it in time, and against one
// that stays although it would be late.
func TestWorkLeavesRegionOnlyWhenLate(t *testing.T) {
	g := gomega.NewWithT(t)
	table := testTable("r1a", "r2a")
	choice, err := table.Pick(epoch, testRequest("1"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(choice.EngineID).To(gomega.Equal("r1a"))
	busy := idle("r1a", epoch.Add(time.Second), engine.RoleMixed)
	busy.WaitingTokens = 100000
	table.UpdateLoad(epoch.Add(time.Second), busy)
	choice, err = table.Pick(epoch.Add(time.Second), testRequest("2"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(choice.EngineID).To(gomega.Equal("r2a"))
}

// Guards against a request that is started although it cannot finish by its deadline.
func TestTooLate(t *testing.T) {
	g := gomega.NewWithT(t)
	table := testTable("r1a")
	req := testRequest("1")
	req.Deadline = epoch.Add(time.Millisecond)
	_, err := table.Pick(epoch, req)
	g.Expect(err).To(gomega.MatchError(ErrTooLate))
}

// Guards against choices that differ between runs with the same seed, so that traces could not be replayed.
func TestSameSeedSameChoices(t *testing.T) {
	g := gomega.NewWithT(t)
	run := func() (choices []string) {
		table := testTable("r1a", "r1b", "r1c")
		for i := range 200 {
			now := epoch.Add(time.Duration(i) * 20 * time.Millisecond)
			req := testRequest(fmt.Sprint(i))
			choice, err := table.Pick(now, req)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			table.Sent(now, choice, req)
			if i >= 10 {
				old := testRequest(fmt.Sprint(i - 10))
				table.Finished(now, Choice{EngineID: choices[i-10]}, old, Outcome{Tokens: 16})
			}
			choices = append(choices, choice.EngineID)
		}
		return choices
	}
	g.Expect(run()).To(gomega.Equal(run()))
}

// Guards against a step model that does not learn its coefficients from ordinary load reports.
func TestStepModelLearns(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newStepModel(0.055, 32)
	for i := range 300 {
		n, busy := float64(5+i*7%50), float64(i%3)/2
		m.observe(n, busy, 0.020+0.0005*n+0.006*busy)
	}
	g.Expect(m.predict(64, 1)).To(gomega.BeNumerically("~", 0.058, 0.002))
}

// Guards against a notice that an engine is leaving being ignored because it arrived before the first load report of
// that start.
func TestLeavingBeforeFirstReport(t *testing.T) {
	g := gomega.NewWithT(t)
	table := testTable("r1a")
	table.SetLeaving("r1a", 2)
	_, err := table.Pick(epoch, testRequest("1"))
	g.Expect(err).To(gomega.MatchError(ErrNoEngine))
	load := idle("r1a", epoch.Add(time.Second), engine.RoleMixed)
	load.EpochHash = 2
	table.UpdateLoad(epoch.Add(time.Second), load)
	_, err = table.Pick(epoch.Add(time.Second), testRequest("2"))
	g.Expect(err).To(gomega.MatchError(ErrNoEngine))
}
