package simfleet

import (
	"cmp"
	"slices"
	"sort"
)

// Bounds are upper bounds on the share of the maximum credit that any policy can reach on the same requests. They rest
// on optimistic assumptions, so that they always hold:
//   - Prefill and decode work may be split among replicas in any way, at any time after the arrival, in any order.
//   - Each shared segment is processed once in the whole deployment and then cached everywhere without using memory.
//   - No replica crashes or is slow, and neither the network nor a change of stage takes time.
//   - The credit that a late response earns and the additional credit for being in time are maximized independently.
//   - All requests to plain services are served in time.
type Bounds struct {
	// Schedule is the bound if stages may change at any moment. It counts prefill only, as if all replicas but one were in
	// stage prefill all the time.
	Schedule float64 `json:"schedule"`
	// FixedAssignment is the bound if stages never change. PrefillReplicas is the number of replicas in stage prefill that
	// it assumes, the best one.
	FixedAssignment float64 `json:"division"`
	PrefillReplicas int     `json:"prefill"`
}

// ComputeBounds computes the bounds for the requests of a deployment and seed. Of several services with model replicas
// only that of the earliest request is bounded; the requests of all other services count with their full credit.
func ComputeBounds(d *Deployment, seed uint64) Bounds {
	total, other := 0.0, 0.0
	var work *serviceWork
	for _, r := range generate(d, seed) {
		credit := r.kind.Credit * r.creditFactor
		total += credit
		service := d.service(r.kind.Service)
		if work == nil && service.Engine != nil {
			work = newServiceWork(service, len(d.Zones))
		}
		if work == nil || service != work.service {
			other += credit
			continue
		}
		work.add(r)
	}
	if work == nil {
		return Bounds{Schedule: 1, FixedAssignment: 1}
	}
	// More replicas in stage prefill raise the prefill bound and lower the decode bound, so the best number is next to
	// where the two bounds cross.
	cross := 1 + sort.Search(work.replicas-1, func(k int) bool { return work.prefillBound(k+1) >= work.decodeBound(k+1) })
	b := Bounds{Schedule: (other + work.prefillBound(work.replicas-1)) / total}
	for k := max(1, cross-1); k <= min(cross, work.replicas-1); k++ {
		if share := (other + min(work.prefillBound(k), work.decodeBound(k))) / total; share > b.FixedAssignment {
			b.FixedAssignment, b.PrefillReplicas = share, k
		}
	}
	return b
}

// serviceWork is the work of one service with model replicas.
type serviceWork struct {
	service      *Service
	replicas     int
	prefill      []workItem // in milliseconds of a replica in stage prefill
	decode       []workItem // in milliseconds of a batch slot
	seenSegments map[uint64]bool
	// target and deadline are the longest of all kinds, longestDecode the longest time to decode a completion, in
	// milliseconds.
	target, deadline, longestDecode float64
}

// workItem is a request with the prefill or decode work that it takes.
type workItem struct {
	request *request
	work    float64
}

func newServiceWork(service *Service, zones int) *serviceWork {
	return &serviceWork{service: service, replicas: service.Replicas * zones, seenSegments: make(map[uint64]bool)}
}

func (w *serviceWork) add(r *request) {
	e := w.service.Engine
	tokens, pairs, before := 0, 0.0, 0
	for n, segment := range r.prompt.Segments {
		if n == len(r.prompt.Segments)-1 || !w.seenSegments[segment.ID] {
			tokens += segment.Tokens
			pairs += float64(segment.Tokens) * (float64(before) + float64(segment.Tokens)/2)
		}
		w.seenSegments[segment.ID] = true
		before += segment.Tokens
	}
	decode := float64(r.events*e.StepsPerEvent) * e.Step
	w.prefill = append(w.prefill, workItem{r, e.prefillTime(tokens, pairs)})
	w.decode = append(w.decode, workItem{r, decode})
	w.target, w.deadline = max(w.target, r.kind.Target), max(w.deadline, r.kind.Deadline)
	w.longestDecode = max(w.longestDecode, decode)
}

// prefillBound bounds the credit by the time that prompts take, if the given number of replicas is in stage prefill and
// the rest process prompts at half the speed.
func (w *serviceWork) prefillBound(prefill int) float64 {
	capacity := float64(prefill) + float64(w.replicas-prefill)/2
	return maxCredit(w.prefill, capacity, w.deadline, lateCredit) + maxCredit(w.prefill, capacity, w.target, inTimeCredit)
}

// decodeBound bounds the credit by the batch slots of the replicas that are not in stage prefill.
func (w *serviceWork) decodeBound(prefill int) float64 {
	slots := float64((w.replicas - prefill) * w.service.Slots)
	return maxCredit(w.decode, slots, w.deadline, lateCredit) + maxCredit(w.decode, slots, w.target+w.longestDecode, inTimeCredit)
}

// lateCredit is the credit of a response even if it is late, inTimeCredit the additional credit if it is in time.
func lateCredit(r *request) float64   { return r.kind.LateCredit * r.creditFactor }
func inTimeCredit(r *request) float64 { return (r.kind.Credit - r.kind.LateCredit) * r.creditFactor }

// maxCredit returns the largest credit of requests, or fractions of them, whose work can be done within a window of
// milliseconds after their arrival. The items must be in order of arrival. capacity is the work done in a millisecond.
//
// The sets of work units that can be done in their windows are the independent sets of a matroid, so a greedy choice in
// order of credit per unit of work finds the best set. A set can be done if and only if, for each arrival i and each
// later one j, the work that arrived from i to j is at most what can be done from the arrival of i to the end of j's
// window.
func maxCredit(items []workItem, capacity, window float64, credit func(*request) float64) float64 {
	order := make([]int, len(items))
	for i := range order {
		order[i] = i
	}
	density := func(i int) float64 { return credit(items[i].request) / items[i].work }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(density(b), density(a)) })
	// before[i] is the work that could be done until the arrival of i, less the accepted work that arrived before i.
	// upTo[i] also subtracts the accepted work of i itself.
	before, upTo := make([]float64, len(items)), make([]float64, len(items))
	for i, item := range items {
		before[i] = capacity * item.request.arrived.Seconds() * 1000
		upTo[i] = before[i]
	}
	sum := 0.0
	for _, next := range order {
		take := min(items[next].work, capacity*window+slices.Min(upTo[next:])-slices.Max(before[:next+1]))
		if take <= 0 {
			continue
		}
		sum += density(next) * take
		for i := next; i < len(items); i++ {
			upTo[i] -= take
			if i > next {
				before[i] -= take
			}
		}
	}
	return sum
}
