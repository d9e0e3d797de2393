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
	// FixedAssignments are the results of the product with stages that never change, for each division.
	FixedAssignments []*Result `json:"divisions"`
}

// BestFixedAssignment returns the best result with stages that never change, or nil.
func (d *DeploymentReport) BestFixedAssignment() *Result {
	var best *Result
	for _, r := range d.FixedAssignments {
		if best == nil || r.All.Credit > best.All.Credit {
			best = r
		}
	}
	return best
}

// RunAll plays all deployments under all policies, several at a time.
func RunAll(deployments []*Deployment, policies []Policy, seed uint64) *Report {
	report := &Report{Seed: seed}
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var group sync.WaitGroup
	job := func(run func()) {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			run()
		})
	}
	report.Deployments = make([]DeploymentReport, len(deployments))
	for n, d := range deployments {
		of := &report.Deployments[n]
		of.Name, of.Results = d.Name, make([]*Result, len(policies))
		job(func() { of.Bounds = ComputeBounds(d, seed) })
		for i, p := range policies {
			job(func() { of.Results[i] = Run(d, p, seed) })
		}
		divisions := FixedAssignments(d)
		of.FixedAssignments = make([]*Result, len(divisions))
		for i, p := range divisions {
			job(func() { of.FixedAssignments[i] = Run(d, p, seed) })
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

// WriteJSON writes the report.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return errors.Wrap(encoder.Encode(r), "simfleet: write report")
}

// Summary returns the report without what happened over time, to compare later versions with.
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

// ReadReport reads what WriteJSON has written.
func ReadReport(in io.Reader) (*Report, error) {
	r := &Report{}
	return r, errors.Wrap(json.NewDecoder(in).Decode(r), "simfleet: read report")
}
