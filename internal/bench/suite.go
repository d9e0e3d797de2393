package bench

import (
	"sync"
	"time"
)

// Options are the options of RunAll.
type Options struct {
	Seed   uint64
	Traces []Trace
	// Parallel is the number of replays that run at a time.
	Parallel int
}

// TraceReport holds the results of all policies on one trace.
type TraceReport struct {
	Trace    string    `json:"trace"`
	Requests int       `json:"requests"`
	Rows     []*Result `json:"rows"`
	// Estimate is the goodput that the dynamic program of the hindsight optimum predicted, Replays the number of schedules
	// that the search has replayed.
	Estimate float64 `json:"dynamic_programme_estimate"`
	Replays  int     `json:"replays"`
}

// row returns the result of a policy, or nil.
func (t *TraceReport) row(policy string) *Result {
	for _, r := range t.Rows {
		if r.Policy == policy {
			return r
		}
	}
	return nil
}

// HerdEffect compares the goodput with few and with many entry instances at the same load.
type HerdEffect struct {
	Trace string `json:"trace"`
	// Few and Many are the goodput with 3 and with 30 instances, in requests/s. Loss is the loss of Many relative to Few.
	Few  float64 `json:"goodput_3_instances"`
	Many float64 `json:"goodput_30_instances"`
	Loss float64 `json:"loss"`
}

// Report is the result of the benchmark.
type Report struct {
	Seed   uint64         `json:"seed"`
	Traces []*TraceReport `json:"traces"`
	Herd   []HerdEffect   `json:"herd"`
}

// Instances per region for the herd effect, 3 and 30 in total.
const (
	herdFew  = 3 / Regions
	herdMany = 30 / Regions
)

// RunAll replays all traces under all policies and searches for the hindsight optimum of each trace.
func RunAll(opts Options) *Report {
	pool := newPool(opts.Parallel)
	report := &Report{
		Seed: opts.Seed, Traces: make([]*TraceReport, len(opts.Traces)), Herd: make([]HerdEffect, len(opts.Traces)),
	}
	var group sync.WaitGroup
	for i := range opts.Traces {
		group.Go(func() { report.Traces[i] = runTrace(&opts.Traces[i], opts.Seed, pool) })
		group.Go(func() { report.Herd[i] = runHerd(&opts.Traces[i], opts.Seed, pool) })
	}
	group.Wait()
	return report
}

func runTrace(trace *Trace, seed uint64, pool *pool) *TraceReport {
	policies := Policies()
	rows := make([]*Result, len(policies))
	var group sync.WaitGroup
	for i, policy := range policies {
		pool.run(&group, func() { rows[i] = Run(trace, policy, seed, EntriesPerRegion) })
	}
	group.Wait()
	var plannerResults []*Result
	for _, r := range rows {
		if len(r.Schedule) > 0 {
			plannerResults = append(plannerResults, r)
		}
	}
	optimum := optimize(trace, seed, pool, plannerResults)
	return &TraceReport{
		Trace: trace.Name, Requests: trace.countedRequests(), Rows: append(rows, optimum.BestStatic, optimum.Best),
		Estimate: optimum.Estimate, Replays: optimum.Replays,
	}
}

func runHerd(trace *Trace, seed uint64, pool *pool) HerdEffect {
	var group sync.WaitGroup
	var few, many *Result
	policy := projectPolicy(policyGoodput, LowChangeCost)
	pool.run(&group, func() { few = Run(trace, policy, seed, herdFew) })
	pool.run(&group, func() { many = Run(trace, policy, seed, herdMany) })
	group.Wait()
	return HerdEffect{Trace: trace.Name, Few: few.Goodput, Many: many.Goodput, Loss: 1 - ratio(many.Goodput, few.Goodput)}
}

// ratio returns a / b, or if b is 0: 1 if a is 0 too and 0 otherwise.
func ratio(a, b float64) float64 {
	if b == 0 {
		if a == 0 {
			return 1
		}
		return 0
	}
	return a / b
}

// NewTrace returns a trace of the requests of a trace file, with the default lags and no withdrawn engines.
func NewTrace(name string, requests []Request) Trace {
	last := requests[len(requests)-1].arrival()
	return Trace{Name: name, Requests: requests, Length: last.Truncate(time.Second) + time.Second, Faults: defaultFaults()}
}
