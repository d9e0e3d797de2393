package simfleet

import (
	"cmp"

	"slices"
	"time"
)

// Tally counts how requests ended and what they were worth.
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
	t.MaxCredit += r.kind.Credit * r.size
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

// CreditShare is what was earned of what was owed.
func (t *Tally) CreditShare() float64 {
	if t.MaxCredit == 0 {
		return 0
	}
	return t.Credit / t.MaxCredit
}

// Result is one play of a deployment under a policy.
type Result struct {
	Policy string `json:"policy"`
	All    Tally  `json:"all"`
	// Kinds are the kinds of request, Large the largest tenth of each kind and the fifth below it.
	Kinds   map[string]*Tally    `json:"kinds"`
	Largest map[string][2]*Tally `json:"largest_tenth_and_next_fifth"`
	Zones   map[string]*Tally    `json:"zones"`
	// Intervals holds what happened to the requests of each interval of arrivals.
	Intervals []Tally `json:"slots,omitempty"`
	// Waiting is the number of requests that wait at replicas at the end of each interval.
	Waiting []int `json:"waiting,omitempty"`
	// Refusals counts refused tries, SendsRefused refused sends to replicas, and Orders changes of stage.
	Refusals        int `json:"refusals"`
	RefusedAttempts int `json:"sends_refused"`
	Orders          int `json:"orders"`
	// PrefillTokens are the prompt tokens that replicas processed.
	PrefillTokens int64 `json:"read_tokens"`
	// RepeatedPrefillTokens are those of shared parts that some replica had processed before.
	RepeatedPrefillTokens int64 `json:"read_again_tokens"`
}

func newResult(d *Deployment, policy string) *Result {
	r := &Result{
		Policy: policy, Kinds: make(map[string]*Tally), Largest: make(map[string][2]*Tally), Zones: make(map[string]*Tally),
		Intervals: make([]Tally, int(d.length()/sampleInterval)+1),
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

func (r *Result) finish(s *Sim, requests []*request) {
	byKind := make(map[string][]*request)
	for _, q := range requests {
		if q.outcome == pending {
			q.outcome = failed
		}
		r.All.add(q)
		r.Kinds[q.kind.Name].add(q)
		r.Zones[s.d.Zones[q.zone].Name].add(q)
		r.Intervals[int((q.arrived-lead)/sampleInterval)].add(q)
		byKind[q.kind.Name] = append(byKind[q.kind.Name], q)
	}
	for name, list := range byKind {
		slices.SortStableFunc(list, func(a, b *request) int { return cmp.Compare(b.size, a.size) })
		for n, q := range list {
			switch {
			case n < len(list)/10:
				r.Largest[name][0].add(q)
			case n < 3*len(list)/10:
				r.Largest[name][1].add(q)
			}
		}
	}
	for _, replica := range s.list {
		r.PrefillTokens += replica.readTokens
	}
}

// slotTime is the middle of an interval of arrivals.
func slotTime(n int) time.Duration { return time.Duration(n)*sampleInterval + sampleInterval/2 }
