package simfleet

import (
	"bytes"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
)

// testLength is the length of test deployments in seconds. It keeps simulations short under the race detector.
const testLength = 6

// shortDeployments returns the embedded deployments, cut to the first seconds.
func shortDeployments(t *testing.T) []*Deployment {
	list, err := Deployments()
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range list {
		d.Length = testLength
	}
	return list
}

// Guards against results that differ between two runs with the same seed, and against requests that are lost or counted
// twice.
func TestRunIsDeterministic(t *testing.T) {
	d := shortDeployments(t)[1]
	d.Length = 3
	requests := len(generate(d, 3))
	for _, p := range Policies() {
		g := gomega.NewWithT(t)
		a, b := Run(d, p, 3), Run(d, p, 3)
		g.Expect(a).To(gomega.Equal(b), p.Name)
		g.Expect(a.All.Requests).To(gomega.Equal(requests), p.Name)
		g.Expect(a.All.InTime+a.All.Late+a.All.Refused+a.All.Failed).To(gomega.Equal(requests), p.Name)
	}
}

// Simulates the first bursts of each deployment. Guards against decisions that are little better than choosing the
// replica with the fewest requests in flight, or that starve a kind, a zone or the largest requests.
func TestTheProductServesEachDeployment(t *testing.T) {
	for _, d := range shortDeployments(t) {
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			product := Run(d, Policy{Name: Product}, 1)
			simple := Run(d, Policy{Name: "least in flight", choose: chooseLeastInFlight, FixedStages: true}, 1)
			t.Logf("product %.3f, least in flight %.3f", product.All.CreditShare(), simple.All.CreditShare())
			g.Expect(product.All.CreditShare()).To(gomega.BeNumerically(">", 2*simple.All.CreditShare()))
			served := func(tally *Tally) float64 { return float64(tally.InTime+tally.Late) / float64(tally.Requests) }
			for name, kind := range product.Kinds {
				g.Expect(served(kind)).To(gomega.BeNumerically(">", served(&product.All)/4), name)
				for _, large := range product.Largest[name] {
					g.Expect(served(large)).To(gomega.BeNumerically(">", served(kind)/2), name)
				}
			}
			for name, zone := range product.Zones {
				g.Expect(served(zone)).To(gomega.BeNumerically(">", 0.8*served(&product.All)), name)
			}
		})
	}
}

// Guards against changes of stage that make a deployment worse than its initial stage assignment, or leave it far from
// the best fixed assignment. The deployments differ in the number of batch slots.
func TestStagesSuitTheBatches(t *testing.T) {
	for _, d := range shortDeployments(t) {
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			product := Run(d, Policy{Name: Product}, 1).All.CreditShare()
			kept := Run(d, Policy{Name: "stages kept", FixedStages: true}, 1).All.CreditShare()
			best := 0.0
			for _, p := range FixedAssignments(d) {
				best = max(best, Run(d, p, 1).All.CreditShare())
			}
			t.Logf("product %.3f, stages kept %.3f, best fixed assignment %.3f", product, kept, best)
			g.Expect(product).To(gomega.BeNumerically(">", kept))
			g.Expect(product).To(gomega.BeNumerically(">", 0.9*best))
		})
	}
}

// Guards against decisions that get worse with the number of instances, since each instance knows only its own
// requests.
func TestManyInstancesDecideAsWellAsFew(t *testing.T) {
	g := gomega.NewWithT(t)
	d := shortDeployments(t)[1]
	share := func(instances int) float64 {
		for i := range d.Zones {
			d.Zones[i].Instances = instances
		}
		return Run(d, Policy{Name: Product}, 1).All.CreditShare()
	}
	few, many := share(1), share(20)
	t.Logf("3 instances %.3f, 60 instances %.3f", few, many)
	g.Expect(many).To(gomega.BeNumerically(">", 0.8*few))
}

// Guards against bounds that a simulation exceeds.
func TestNoRunExceedsTheBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	d := shortDeployments(t)[1]
	d.Length = 3
	for seed := range uint64(5) {
		b := ComputeBounds(d, seed)
		g.Expect(b.Schedule).To(gomega.BeNumerically("<=", 1+1e-9))
		g.Expect(Run(d, Policy{Name: Product}, seed).All.CreditShare()).To(gomega.BeNumerically("<=", b.Schedule+1e-9))
		for _, p := range FixedAssignments(d) {
			g.Expect(Run(d, p, seed).All.CreditShare()).To(gomega.BeNumerically("<=", b.FixedAssignment+1e-9), p.Name)
		}
	}
}

// Guards against a bound that is too low. Compares it with the best subset of small random loads, found by trying all
// subsets.
func TestMaxCreditIsNotBelowTheBestSet(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		const window, capacity = 10.0, 1.0
		var items []workItem
		at := 0
		for range 7 {
			at += random.IntN(8)
			items = append(items, workItem{&request{arrived: time.Duration(at) * time.Millisecond, creditFactor: float64(1 + random.IntN(9))}, float64(1 + random.IntN(9))})
		}
		best := 0.0
		for set := range 1 << len(items) {
			credit, free := 0.0, 0.0
			for i, item := range items {
				if set>>i&1 == 0 {
					continue
				}
				arrived := item.request.arrived.Seconds() * 1000
				free = max(free, arrived) + item.work/capacity
				if free > arrived+window+1e-9 {
					credit = -1
					break
				}
				credit += item.request.creditFactor
			}
			best = max(best, credit)
		}
		got := maxCredit(items, capacity, window, func(r *request) float64 { return r.creditFactor })
		g.Expect(got).To(gomega.BeNumerically(">=", best-1e-9))
	}
	one := []workItem{{&request{creditFactor: 2}, 5}, {&request{creditFactor: 1}, 10}}
	g.Expect(maxCredit(one, 1, 10, func(r *request) float64 { return r.creditFactor })).To(gomega.BeNumerically("~", 2.5, 1e-9))
}

// Guards against invalid deployment files that are accepted.
func TestBadDeployments(t *testing.T) {
	g := gomega.NewWithT(t)
	good, err := deploymentFiles.ReadFile("deployments/nine-engines.json")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, change := range [][2]string{
		{`"length_s": 30`, `"length_s": 0`}, {`"instances": 4`, `"instances": 0`}, {`"service": "desk"`, `"service": "none"`},
		{`"slots": 6`, `"slots": 0`}, {`"rate_per_s": 185`, `"rate_per_s": 0`}, {`"own_tokens": 140`, `"own_tokens": 0`},
		{`"factor": 1.7`, `"factor": -1`}, {`"name": "desk"`, `"nam": "desk"`}, {`"prefill_share": 0.35`, `"prefill_share": 1`},
		{"\n}", "\n}{}"},
	} {
		g.Expect(string(good)).To(gomega.ContainSubstring(change[0]))
		_, err := Read(bytes.Replace(good, []byte(change[0]), []byte(change[1]), 1))
		g.Expect(errors.Is(err, ErrInvalidDeployment)).To(gomega.BeTrue(), change[1])
	}
}

// Guards against reports that change when they are written and read, which later reports are compared with, and against
// missing plots.
func TestReports(t *testing.T) {
	g := gomega.NewWithT(t)
	d := shortDeployments(t)[1]
	d.Length = 1
	report := RunAll([]*Deployment{d}, []Policy{{Name: Product}}, 1)
	var file, table bytes.Buffer
	g.Expect(report.WriteJSON(&file)).To(gomega.Succeed())
	again, err := ReadReport(&file)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again.Find(d.Name, Product).All).To(gomega.Equal(report.Find(d.Name, Product).All))
	g.Expect(report.WriteTable(&table, again)).To(gomega.Succeed())
	g.Expect(strings.Count(table.String(), "bound, any schedule")).To(gomega.Equal(1))
	dir := t.TempDir()
	g.Expect(report.WritePlots(dir)).To(gomega.Succeed())
	for _, name := range []string{"in-time", "refused", "waiting"} {
		info, err := os.Stat(filepath.Join(dir, d.Name+"-"+name+".svg"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(info.Size()).To(gomega.BeNumerically(">", 1000))
	}
}
