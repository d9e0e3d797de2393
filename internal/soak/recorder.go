package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"rhubarbpoint/platform"
)

// recorder records what callers and replicas observe, and the violations that it finds. It is safe for concurrent use.
type recorder struct {
	mu sync.Mutex
	// executions are the numbers of executions by request ID. responded are the requests to which a replica has written
	// a complete response.
	executions map[string]int
	responded  map[string]bool
	// short are the streams that a living replica ended early in a way that marks the end of a response.
	short map[string]bool
	// midEvent are the requests whose streams a replica broke off inside an event.
	midEvent map[string]bool
	// refused are the requests whose callers were told that they had not run, and did not send them again.
	refused map[string]bool
	// senders are the last instance to which a caller sent a request, and when, by request ID.
	senders map[string]sender
	// keyVersions are the versions of the keys that may be revoked, by the ID of the request that a caller sent with one.
	// revokedAt returns when the store acknowledged the removal of the key of a version.
	keyVersions map[string]int64
	revokedAt   func(version int64) (time.Time, bool)
	// handleOwners are the requests whose prompts prefill replicas have processed, by KV cache handle; "" after its
	// use.
	handleOwners     map[string]string
	orders           []stageOrder
	servedByInstance map[string]int
	counts           Counts
	violations       []string
}

// Counts are the numbers of requests and stage orders of a soak by outcome, and those of faults by name.
type Counts struct {
	Sent, Served, Refused, Broken, Runs, Orders int
	// SegmentArrivals counts the requests with crashingSegment that reached replicas, SegmentCrashes the replicas that
	// crashed under them.
	SegmentArrivals, SegmentCrashes int
	// RevokedSent counts the requests that were sent later than revokeWithin after the removal of their key,
	// RotatingServed those with such a key that were served.
	RevokedSent, RotatingServed int
	// Streams counts the streams that callers asked for, StreamsBroken their responses that broke off. TakenUp counts the
	// attempts to take one up again after its last event, WentOn those that completed it.
	Streams, StreamsBroken, TakenUp, WentOn int
	// MidEventTakenUp counts those of the attempts to take up a stream that a replica had broken off inside an event before,
	// MidEventWentOn those of them that completed it, MidEventContinued the responses that are whole although a replica broke off inside
	// an event of them.
	MidEventTakenUp, MidEventWentOn, MidEventContinued int
	// Cuts counts the cuts of instances from all replicas, CutChecks the instances whose service during one was checked,
	// CutTries and CutServed the first tries of their callers and those of them that were served.
	Cuts, CutChecks, CutTries, CutServed int
	// BrokenOff counts the responses that replicas broke off, by the place and the way.
	BrokenOff map[string]int
	Faults    map[string]int
}

// stageOrder is an order that changes a replica's stage, with the time at which the replica received it.
type stageOrder struct {
	at time.Time
	platform.Order
}

// sender is the instance to which a caller sent a request.
type sender struct {
	instance *instance
	at       time.Time
}

func newRecorder() *recorder {
	return &recorder{
		executions: make(map[string]int), responded: make(map[string]bool), refused: make(map[string]bool),
		short: make(map[string]bool), midEvent: make(map[string]bool),
		handleOwners:     make(map[string]string),
		keyVersions:      make(map[string]int64),
		senders:          make(map[string]sender),
		servedByInstance: make(map[string]int), counts: Counts{BrokenOff: make(map[string]int), Faults: make(map[string]int)},
	}
}

// recordViolation records something that must not happen.
func (r *recorder) recordViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// recordExecution records that a replica starts to execute a request. Only idempotent requests may be executed again,
// and none after its caller was told that it had not run.
func (r *recorder) recordExecution(id string, atMostOnce bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions[id]++
	r.counts.Runs++
	if atMostOnce && r.executions[id] > 1 {
		r.violations = append(r.violations, fmt.Sprintf("at most once: request %s ran %d times", id, r.executions[id]))
	}
	if sent := r.senders[id].at; r.revokedLongBefore(id, sent) {
		r.violations = append(r.violations, fmt.Sprintf("keys: request %s ran at %v, sent at %v with the key of version %d, which was removed more than %v before",
			id, time.Now(), sent, r.keyVersions[id], revokeWithin))
	}
	if r.refused[id] {
		r.violations = append(r.violations, fmt.Sprintf("true refusals: request %s ran after its caller was told that it had not run",
			id))
	}
}

// recordSent records that a caller sends a request to an instance.
func (r *recorder) recordSent(id string, to *instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.senders[id] = sender{to, time.Now()}
}

// senderOf returns the instance that got a request from a caller, and when the caller sent it, or nil.
func (r *recorder) senderOf(id string) (*instance, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.senders[id].instance, r.senders[id].at
}

func (r *recorder) recordResponse(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responded[id] = true
}

// recordRefusal records that a caller was told that its request has not run. If final, the caller does not send it
// again.
func (r *recorder) recordRefusal(id string, final bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Refused++
	if r.executions[id] > 0 {
		r.violations = append(r.violations, fmt.Sprintf("true refusals: request %s was refused after it had run %d times",
			id, r.executions[id]))
	}
	if final {
		r.refused[id] = true
	}
}

func (r *recorder) recordServed(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Served++
	r.servedByInstance[instance]++
}

func (r *recorder) servedBy(instance string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.servedByInstance[instance]
}

func (r *recorder) hasResponse(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.responded[id]
}

// recordBrokenOff records that a replica breaks off a stream. If whole is set, its end marks that of a response all the same.
func (r *recorder) recordBrokenOff(id, kind string, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.BrokenOff[kind]++
	if whole {
		r.short[id] = true
	}
	if strings.HasPrefix(kind, breakInEvent) {
		r.midEvent[id] = true
	}
}

// brokeInEvent reports whether a replica has broken the stream of any of the requests off inside an event.
func (r *recorder) brokeInEvent(requests ...string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(requests, func(id string) bool { return r.midEvent[id] })
}

// mayBeShort reports whether a living replica has ended the response to a request early and in order.
func (r *recorder) mayBeShort(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.short[id]
}

// increment adds one to a field of counts.
func (r *recorder) increment(count *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*count++
}

func (r *recorder) snapshot() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

func (r *recorder) recordOrder(o *platform.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, stageOrder{time.Now(), *o})
	r.counts.Orders++
}

// lastHolder returns the ID of the instance that gave the last order, or "".
func (r *recorder) lastHolder() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.orders) == 0 {
		return ""
	}
	return r.orders[len(r.orders)-1].By.Holder
}

// minHolderGap is the least time between the orders of two holders, which the users' platform sets.
const minHolderGap = 3 * time.Second

// checkHolders checks that fencing tokens increase from holder to holder and that the orders of two holders are at
// least minHolderGap apart. It ignores orders for which recentlyPaused reports that the instance was paused until
// shortly before.
func (r *recorder) checkHolders(recentlyPaused func(instance string, at time.Time) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var before *stageOrder
	for i := range r.orders {
		o := &r.orders[i]
		if recentlyPaused(o.By.Holder, o.at) {
			continue
		}
		if before != nil && before.By != o.By {
			if o.By.Fence <= before.By.Fence {
				r.violations = append(r.violations, fmt.Sprintf("one holder: order with fence %d of %s after fence %d of %s",
					o.By.Fence, o.By.Holder, before.By.Fence, before.By.Holder))
			}
			if gap := o.at.Sub(before.at); gap < minHolderGap {
				r.violations = append(r.violations, fmt.Sprintf("one holder: order of %s came %v after one of %s",
					o.By.Holder, gap, before.By.Holder))
			}
		}
		before = o
	}
}

// newHandle records that a replica has processed the prompt of a request, and returns a KV cache handle for it.
func (r *recorder) newHandle(request string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	handle := fmt.Sprintf("h%d", len(r.handleOwners))
	r.handleOwners[handle] = request
	return handle
}

// takeHandle marks a KV cache handle as used and reports whether it was valid, which it is for one use. It is a
// violation if the handle belongs to another request.
func (r *recorder) takeHandle(handle, request string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	owner, found := r.handleOwners[handle]
	if found && owner != "" && owner != request {
		r.violations = append(r.violations, fmt.Sprintf("own responses: request %s continues from the prompt of request %s",
			request, owner))
	}
	r.handleOwners[handle] = ""
	return owner != ""
}
