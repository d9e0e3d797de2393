package simfleet

import (
	"cmp"
	"slices"
	"sort"
)

// Bounds are shares of the owed credit that no policy can exceed on the same requests. They are loose on purpose, so that
// they hold:
//   - Prompts and answers may be divided among replicas in any way, at any time after the arrival, in any order.
//   - Each shared part is processed once in the whole fleet and then cached everywhere, at no cost of memory.
//   - Nothing crashes, is slow, takes time on the network, or waits for a change of stage.
//   - The credit for being in time and the credit for being late at least are each chosen as if the other did not exist.
//   - Requests of plain services are all served in time.
type Bounds struct {
	// Schedule holds for stages that change at any moment: all replicas but one process prompts all the time.
	Schedule float64 `json:"schedule"`
	// FixedAssignment holds for stages that never change. Prefill is the best number of replicas in stage prefill.
	FixedAssignment float64 `json:"division"`
	PrefillReplicas int     `json:"prefill"`
}

// ComputeBounds works out the bounds for the requests of a deployment and seed. Only the first service with model replicas is
// bounded.
func ComputeBounds(d *Deployment, seed uint64) Bounds {
	owed, other := 0.0, 0.0
	var load *boundLoad
	for _, r := range generate(d, seed) {
		credit := r.kind.Credit * r.size
		owed += credit
		service := d.service(r.kind.Service)
		if load == nil && service.Engine != nil {
			load = newBoundLoad(service, len(d.Zones))
		}
		if load == nil || service != load.service {
			other += credit
			continue
		}
		load.add(r)
	}
	if load == nil {
		return Bounds{Schedule: 1, FixedAssignment: 1}
	}
	// More replicas in stage prefill help the prompts and harm the answers, so the best division is next to where the two
	// bounds cross.
	cross := 1 + sort.Search(load.replicas-1, func(k int) bool { return load.prompts(k+1) >= load.answers(k+1) })
	b := Bounds{Schedule: (other + load.prompts(load.replicas-1)) / owed}
	for k := max(1, cross-1); k <= min(cross, load.replicas-1); k++ {
		if share := (other + min(load.prompts(k), load.answers(k))) / owed; share > b.FixedAssignment {
			b.FixedAssignment, b.PrefillReplicas = share, k
		}
	}
	return b
}

// boundLoad is the work of one service with model replicas.
type boundLoad struct {
	service  *Service
	replicas int
	read     []boundItem // milliseconds of a replica in stage prefill
	answer   []boundItem // milliseconds of a place
	seen     map[uint64]bool
	// target and deadline are the longest of all kinds, and longest is the longest answer, in milliseconds.
	target, deadline, longest float64
}

// boundItem is a request with the work that someone has to do for it.
type boundItem struct {
	request *request
	work    float64
}

func newBoundLoad(service *Service, zones int) *boundLoad {
	return &boundLoad{service: service, replicas: service.Replicas * zones, seen: make(map[uint64]bool)}
}

func (l *boundLoad) add(r *request) {
	e := l.service.Engine
	tokens, pairs, before := 0, 0.0, 0
	for n, part := range r.prompt.Segments {
		if n == len(r.prompt.Segments)-1 || !l.seen[part.ID] {
			tokens += part.Tokens
			pairs += float64(part.Tokens) * (float64(before) + float64(part.Tokens)/2)
		}
		l.seen[part.ID] = true
		before += part.Tokens
	}
	answer := float64(r.events*e.StepsPerEvent) * e.Step
	l.read = append(l.read, boundItem{r, e.read(tokens, pairs)})
	l.answer = append(l.answer, boundItem{r, answer})
	l.target, l.deadline = max(l.target, r.kind.Target), max(l.deadline, r.kind.Deadline)
	l.longest = max(l.longest, answer)
}

// prompts bounds the credit by the time to process prompts, if some replicas are in stage prefill and the others process
// prompts at half the pace.
func (l *boundLoad) prompts(prefill int) float64 {
	capacity := float64(prefill) + float64(l.replicas-prefill)/2
	return serveBest(l.read, capacity, l.deadline, lateCredit) + serveBest(l.read, capacity, l.target, promptCredit)
}

// answers bounds the credit by the places of the replicas that are not in stage prefill.
func (l *boundLoad) answers(prefill int) float64 {
	places := float64((l.replicas - prefill) * l.service.Slots)
	return serveBest(l.answer, places, l.deadline, lateCredit) + serveBest(l.answer, places, l.target+l.longest, promptCredit)
}

// lateCredit is what an answer is worth in any case, promptCredit what it is worth more if it is in time.
func lateCredit(r *request) float64   { return r.kind.LateCredit * r.size }
func promptCredit(r *request) float64 { return (r.kind.Credit - r.kind.LateCredit) * r.size }

// serveBest returns the largest credit of requests, or parts of them, whose work can be done within a window of milliseconds
// after their arrival, in order of which the items must be. capacity is the work done in a millisecond.
//
// The pieces of work that can be done in their windows are the independent sets of a matroid, so taking them in the order
// of their credit finds the best set. A set can be done if and only if, for each arrival i and each later one j, the work
// that arrived from i to j is at most what can be done from the arrival of i to the end of j's window.
func serveBest(items []boundItem, capacity, window float64, credit func(*request) float64) float64 {
	order := make([]int, len(items))
	for i := range order {
		order[i] = i
	}
	density := func(i int) float64 { return credit(items[i].request) / items[i].work }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(density(b), density(a)) })
	// For the work accepted so far, before[i] is what could be done until the arrival of i less what arrived before i, and
	// upTo[j] the same including j.
	before, upTo := make([]float64, len(items)), make([]float64, len(items))
	for i, item := range items {
		before[i] = capacity * item.request.arrived.Seconds() * 1000
		upTo[i] = before[i]
	}
	sum := 0.0
	for _, at := range order {
		take := min(items[at].work, capacity*window+slices.Min(upTo[at:])-slices.Max(before[:at+1]))
		if take <= 0 {
			continue
		}
		sum += density(at) * take
		for i := at; i < len(items); i++ {
			upTo[i] -= take
			if i > at {
				before[i] -= take
			}
		}
	}
	return sum
}
