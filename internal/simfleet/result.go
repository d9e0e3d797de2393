package simfleet

import (
	"cmp"

	"slices"
	"time"
)

// Tally counts requests by their outcome and sums up their credit. MaxCredit is the credit if all were in time, Credit
// the credit that they have earned.
type Tally struct {
	Requests  int     `json:"asked"`
	InTime    int     `json:"in_time"`
	Late      int     `json:"late"`
	Refused   int     `json:"refused"`
	Failed    int     `json:"failed"`
	MaxCredit float64 `json:"owed"`
	Credit    float64 `json:"earned"`
}

func (t *Tally) add(r *request) {
	t.Requests++
	t.MaxCredit += r.kind.Credit * r.creditFactor
	t.Credit += r.credit()
	switch r.outcome {
	case inTime:
		t.InTime++
	case late:
		t.Late++
	case refused:
		t.Refused++
	default:
		t.Failed++
	}
}

// CreditShare returns Credit relative to MaxCredit.
func (t *Tally) CreditShare() float64 {
	if t.MaxCredit == 0 {
		return 0
	}
	return t.Credit / t.MaxCredit
}

// Result is the result of a simulation of a deployment under a policy.
type Result struct {
	Policy string `json:"policy"`
	All    Tally  `json:"all"`
	// Kinds and Zones break down All by kind of request and by zone. Largest has the tenth of the requests of each kind
	// with the most credit, and the fifth after them.
	Kinds   map[string]*Tally    `json:"kinds"`
	Largest map[string][2]*Tally `json:"largest_tenth_and_next_fifth"`
	Zones   map[string]*Tally    `json:"zones"`
	// FirstEvent99 is the 99th percentile of the time to the first event of the served requests of each kind, in
	// milliseconds.
	FirstEvent99 map[string]float64 `json:"first_event_99_ms,omitempty"`
	// Intervals holds the outcomes of the requests that arrived in each interval.
	Intervals []Tally `json:"slots,omitempty"`
	// Waiting is the number of requests waiting at replicas, one sample for each interval.
	Waiting []int `json:"waiting,omitempty"`
	// Refusals counts refusals that callers received, RefusedAttempts attempts that replicas did not run, and Orders
	// changes of stage.
	Refusals        int `json:"refusals"`
	RefusedAttempts int `json:"sends_refused"`
	Orders          int `json:"orders"`
	// PrefillTokens is the number of prompt tokens that replicas processed.
	PrefillTokens int64 `json:"read_tokens"`
	// RepeatedPrefillTokens counts the tokens of shared segments that some replica had processed before.
	RepeatedPrefillTokens int64 `json:"read_again_tokens"`
}

func newResult(d *Deployment, policy string) *Result {
	r := &Result{
		Policy: policy, Kinds: make(map[string]*Tally), Largest: make(map[string][2]*Tally), Zones: make(map[string]*Tally),
		FirstEvent99: make(map[string]float64),
		Intervals:    make([]Tally, int(d.length()/sampleInterval)+1),
	}
	for _, k := range d.Kinds {
		r.Kinds[k.Name] = &Tally{}
		r.Largest[k.Name] = [2]*Tally{{}, {}}
	}
	for _, z := range d.Zones {
		r.Zones[z.Name] = &Tally{}
	}
	return r
}

// finish adds up the outcomes of all requests. Requests that are still pending count as failed.
func (r *Result) finish(s *Sim, requests []*request) {
	byKind := make(map[string][]*request)
	for _, req := range requests {
		if req.outcome == pending {
			req.outcome = failed
		}
		r.All.add(req)
		r.Kinds[req.kind.Name].add(req)
		r.Zones[s.d.Zones[req.zone].Name].add(req)
		r.Intervals[int((req.arrived-leadTime)/sampleInterval)].add(req)
		byKind[req.kind.Name] = append(byKind[req.kind.Name], req)
	}
	for name, list := range byKind {
		r.FirstEvent99[name] = firstEvent99(list)
		slices.SortStableFunc(list, func(a, b *request) int { return cmp.Compare(b.creditFactor, a.creditFactor) })
		for n, req := range list {
			switch {
			case n < len(list)/10:
				r.Largest[name][0].add(req)
			case n < 3*len(list)/10:
				r.Largest[name][1].add(req)
			}
		}
	}
	for _, replica := range s.replicas {
		r.PrefillTokens += replica.prefillTokens
	}
}

// firstEvent99 returns the 99th percentile of the time to the first event in milliseconds.
func firstEvent99(list []*request) float64 {
	var times []float64
	for _, req := range list {
		if req.received > 0 {
			times = append(times, (req.firstEvent-req.arrived).Seconds()*1000)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)*99/100]
}

// intervalMiddle returns the middle of the n-th interval of arrivals.
func intervalMiddle(n int) time.Duration { return time.Duration(n)*sampleInterval + sampleInterval/2 }
