package simfleet

import (
	"encoding/json"
	"io"
	"runtime"
	"sync"

	"github.com/cockroachdb/errors"
)

// Report holds the results of all policies on all deployments.
type Report struct {
	Seed        uint64             `json:"seed"`
	Deployments []DeploymentReport `json:"deployments"`
}

// DeploymentReport holds the results of one deployment.
type DeploymentReport struct {
	Name    string    `json:"name"`
	Bounds  Bounds    `json:"bounds"`
	Results []*Result `json:"results"`
	// FixedAssignments are the results of the product with each stage assignment that never changes.
	FixedAssignments []*Result `json:"divisions"`
}

// BestFixedAssignment returns the result of the best stage assignment that never changes, or nil if there is none.
func (d *DeploymentReport) BestFixedAssignment() *Result {
	var best *Result
	for _, r := range d.FixedAssignments {
		if best == nil || r.All.Credit > best.All.Credit {
			best = r
		}
	}
	return best
}

// RunAll simulates all deployments under all policies, as many at a time as GOMAXPROCS.
func RunAll(deployments []*Deployment, policies []Policy, seed uint64) *Report {
	report := &Report{Seed: seed}
	running := make(chan struct{}, runtime.GOMAXPROCS(0))
	var group sync.WaitGroup
	start := func(run func()) {
		group.Go(func() {
			running <- struct{}{}
			defer func() { <-running }()
			run()
		})
	}
	report.Deployments = make([]DeploymentReport, len(deployments))
	for n, d := range deployments {
		dr := &report.Deployments[n]
		dr.Name, dr.Results = d.Name, make([]*Result, len(policies))
		start(func() { dr.Bounds = ComputeBounds(d, seed) })
		for i, p := range policies {
			start(func() { dr.Results[i] = Run(d, p, seed) })
		}
		assignments := FixedAssignments(d)
		dr.FixedAssignments = make([]*Result, len(assignments))
		for i, p := range assignments {
			start(func() { dr.FixedAssignments[i] = Run(d, p, seed) })
		}
	}
	group.Wait()
	return report
}

// Find returns the result of a policy on a deployment, or nil.
func (r *Report) Find(deployment, policy string) *Result {
	for _, d := range r.Deployments {
		for _, result := range d.Results {
			if d.Name == deployment && result.Policy == policy {
				return result
			}
		}
	}
	return nil
}

// WriteJSON writes the report, indented.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return errors.Wrap(encoder.Encode(r), "simfleet: write report")
}

// Summary returns the report without its time series, as a baseline for later versions.
func (r *Report) Summary() *Report {
	short := &Report{Seed: r.Seed}
	for _, d := range r.Deployments {
		d.Results, d.FixedAssignments = withoutSeries(d.Results), withoutSeries(d.FixedAssignments)
		short.Deployments = append(short.Deployments, d)
	}
	return short
}

func withoutSeries(results []*Result) []*Result {
	var list []*Result
	for _, r := range results {
		short := *r
		short.Intervals, short.Waiting = nil, nil
		list = append(list, &short)
	}
	return list
}

// ReadReport reads a report that WriteJSON has written.
func ReadReport(in io.Reader) (*Report, error) {
	r := &Report{}
	return r, errors.Wrap(json.NewDecoder(in).Decode(r), "simfleet: read report")
}
