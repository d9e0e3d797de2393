package role

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"rhubarbpoint/engine"
)

var epoch = time.Unix(1_700_000_000, 0)

// region is a set of engines with a given demand. Role changes take effect at once.
type region struct {
	roles   []engine.Role
	prefill float64 // prompt tokens/s
	decode  float64 // output tokens/s
}

func (r *region) input(now time.Time) *Input {
	in := &Input{Now: now, ChangesAllowed: true}
	var prefills, decodes float64
	for _, role := range r.roles {
		if role != engine.RoleDecode {
			prefills++
		}
		if role != engine.RolePrefill {
			decodes++
		}
	}
	for i, role := range r.roles {
		e := Engine{ID: fmt.Sprint(i), Role: role, Usable: true, ArrivalRate: 5, MaxRunning: 64, StepSeconds: 0.04}
		switch role {
		case engine.RolePrefill:
			e.PrefillRate, e.MaxRunning = 20000, 0
		case engine.RoleDecode:
			e.PrefillRate, e.DecodeRate = 3000, 1200
		default:
			e.PrefillRate, e.DecodeRate = 10000, 400
		}
		if role != engine.RoleDecode {
			e.PrefillPerArrival = r.prefill / prefills / e.ArrivalRate
		}
		if role != engine.RolePrefill {
			e.DecodePerArrival = r.decode / decodes / e.ArrivalRate
		}
		in.Engines = append(in.Engines, e)
	}
	return in
}

func (r *region) apply(c *Change) {
	for i := range r.roles {
		if fmt.Sprint(i) == c.EngineID {
			r.roles[i] = c.To
		}
	}
}

func policy(cost float64) Policy { return Policy{ChangeTime: 5 * time.Second, ChangeCost: cost} }

// Guards against roles that go back and forth although the mix of prefill and decode work does not change.
func TestNoFlappingOnConstantMix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &region{
			roles:   []engine.Role{engine.RolePrefill, engine.RoleDecode, engine.RoleDecode},
			prefill: rapid.Float64Range(0, 60000).Draw(t, "prefill"), decode: rapid.Float64Range(0, 4000).Draw(t, "decode"),
		}
		p := NewPlanner(policy(rapid.Float64Range(0, 60).Draw(t, "price")))
		changes := 0
		for second := range 900 {
			now := epoch.Add(time.Duration(second) * time.Second)
			if c := p.Plan(r.input(now)); c != nil {
				changes++
				r.apply(c)
				p.ChangeEnded(now, 10*time.Second)
			}
		}
		if changes > len(r.roles) {
			t.Fatalf("%d changes, roles %v", changes, r.roles)
		}
	})
}

// Guards against a change that leaves a kind of work without an engine, and against a change that is made without the
// authority or during another change.
func TestChangesKeepBothKindsOfWork(t *testing.T) {
	all := []engine.Role{engine.RoleMixed, engine.RolePrefill, engine.RoleDecode}
	rapid.Check(t, func(t *rapid.T) {
		r := &region{}
		for range rapid.IntRange(1, 5).Draw(t, "engines") {
			r.roles = append(r.roles, rapid.SampledFrom(all).Draw(t, "role"))
		}
		p := NewPlanner(policy(0))
		for second := range 300 {
			if second%60 == 0 {
				r.prefill = rapid.Float64Range(0, 100000).Draw(t, "prefill")
				r.decode = rapid.Float64Range(0, 10000).Draw(t, "decode")
			}
			now := epoch.Add(time.Duration(second) * time.Second)
			in := r.input(now)
			unusable := rapid.IntRange(0, len(r.roles)).Draw(t, "gone")
			if unusable < len(r.roles) {
				in.Engines[unusable].Usable = false
			}
			in.ChangesAllowed, in.Changing = rapid.Bool().Draw(t, "held"), rapid.IntRange(0, 3).Draw(t, "changing") == 0
			c := p.Plan(in)
			if c == nil {
				continue
			}
			if !in.ChangesAllowed || in.Changing {
				t.Fatal("change without authority or during another change")
			}
			before, during := countUsable(in), countUsable(in)
			during[roleIndex(c.From)]--
			if before.prefillEngines() > 0 && during.prefillEngines() == 0 ||
				before.decodeEngines() > 0 && during.decodeEngines() == 0 {
				t.Fatalf("change from %v to %v leaves a kind of work without an engine; engines per role %v", c.From, c.To, before)
			}
			r.apply(c)
			p.ChangeEnded(now, time.Second)
		}
	})
}

// Guards against a region that stays without decode after its last engine for decode became unusable.
func TestRestoresLostKindOfWork(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &region{roles: []engine.Role{engine.RolePrefill, engine.RolePrefill}, prefill: 10000}
	p := NewPlanner(policy(0))
	var change *Change
	for second := 0; second < 60 && change == nil; second++ {
		change = p.Plan(r.input(epoch.Add(time.Duration(second) * time.Second)))
	}
	g.Expect(change).NotTo(gomega.BeNil())
	g.Expect(change.To).NotTo(gomega.Equal(engine.RolePrefill))
}

// Guards against a cost that does not delay a change, and against a cost that prevents it for ever.
func TestCostDelaysChange(t *testing.T) {
	g := gomega.NewWithT(t)
	firstChange := func(cost float64) int {
		r := &region{
			roles:   []engine.Role{engine.RolePrefill, engine.RoleDecode, engine.RoleDecode},
			prefill: 30000, decode: 500,
		}
		p := NewPlanner(policy(cost))
		for second := range 3600 {
			if p.Plan(r.input(epoch.Add(time.Duration(second)*time.Second))) != nil {
				return second
			}
		}
		return 3600
	}
	free, costly := firstChange(0), firstChange(60)
	g.Expect(free).To(gomega.BeNumerically("<", costly))
	g.Expect(costly).To(gomega.BeNumerically("<", 3600))
}
