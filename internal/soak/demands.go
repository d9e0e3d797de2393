package soak

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"rhubarbpoint/internal/faultproxy"
	"rhubarbpoint/platform"
)

const (
	// leavingTime is how long a replica that says in its responses that it leaves continues to serve, and leavingBound the
	// time after which an instance that has had such a response must not send it a caller's request.
	leavingTime  = 5 * time.Second
	leavingBound = 2500 * time.Millisecond
	// pauseBound is the time after which an instance must heed the pause that a replica asked for, and maxPausedArrivals the
	// number of its requests that may still arrive.
	pauseBound        = 500 * time.Millisecond
	maxPausedArrivals = 2
	// longestPause bounds the pauses that replicas ask for.
	longestPause = 2 * time.Second
)

// askedPause is the last pause that a replica asked an instance for.
type askedPause struct {
	from, until time.Time
	arrivals    int
}

// demands are what a replica has asked the instances for in its responses. It is safe for concurrent use.
type demands struct {
	recorder *recorder

	mu sync.Mutex
	// leaving is set while each response says that the replica leaves, asking while some requests are turned away with a
	// pause.
	leaving, asking bool
	heldUntil       time.Time // when the last hold of the links to the replica ends
	toldLeaving     map[*instance]time.Time
	pauses          map[*instance]*askedPause
}

func newDemands(r *recorder) *demands {
	return &demands{recorder: r, toldLeaving: make(map[*instance]time.Time), pauses: make(map[*instance]*askedPause)}
}

func (d *demands) set(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

// arrive checks a request against the demands, and makes new ones in the header of its response. It reports whether the
// request is turned away.
func (d *demands) arrive(request string, header http.Header) (refuse bool) {
	from, sent := d.recorder.senderOf(request)
	if from == nil {
		return false
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	// Another instance may have sent the request and may get the response, so what the caller's instance was told says nothing.
	if from.mayForward() {
		return d.turnAway(nil, now, header)
	}
	if told, found := d.toldLeaving[from]; found && sent.Sub(told) > leavingBound && !from.disturbedSince(told) {
		d.recorder.recordViolation("leaving: request %s, sent %v after %s had a response which says that the replica leaves",
			request, sent.Sub(told), from.node.ID)
	}
	if p := d.pauses[from]; p != nil && now.Before(p.until) && now.Sub(p.from) > pauseBound {
		p.arrivals++
		if p.arrivals == maxPausedArrivals+1 && !from.disturbedSince(p.from) && d.heldUntil.Before(p.from) {
			d.recorder.recordViolation("pause: %d requests of %s arrived, %s the last, %v before the end of a pause", p.arrivals, from.node.ID,
				request, p.until.Sub(now))
		}
	}
	return d.turnAway(from, now, header)
}

// turnAway makes the demands in the header of a response and records them for an instance, if it is not nil. It reports
// whether the request is turned away. The lock is held.
func (d *demands) turnAway(from *instance, now time.Time, header http.Header) bool {
	if d.leaving {
		header.Set(platform.HeaderLeaving, "1")
		if _, told := d.toldLeaving[from]; from != nil && !told {
			d.toldLeaving[from] = now
		}
	}
	if !d.asking || rand.IntN(3) > 0 {
		return false
	}
	pause := shortestFault + time.Duration(rand.Int64N(int64(longestPause)))
	header.Set(platform.HeaderRetryAfter, strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
	if p := d.pauses[from]; from != nil && (p == nil || now.After(p.until)) {
		d.pauses[from] = &askedPause{from: now, until: now.Add(pause)}
	}
	return true
}

// leaveBySaying has a replica say in its responses that it leaves, without a word in the store, and replaces it later.
func (c *cluster) leaveBySaying(r *replica) {
	r.demands.set(func() { r.demands.leaving = true })
	time.Sleep(leavingTime)
	c.replaceReplica(r, (*replica).crash)
}

// askForPauses has a replica turn requests away with pauses for a time.
func (c *cluster) askForPauses(r *replica, length time.Duration) {
	r.demands.set(func() { r.demands.asking = true })
	time.Sleep(length)
	r.demands.set(func() { r.demands.asking = false })
}

// holdLink holds what a replica sends for a time.
func (c *cluster) holdLink(r *replica, length time.Duration) {
	r.demands.set(func() { r.demands.heldUntil = time.Now().Add(length + pauseGrace) })
	r.link.Set(faultproxy.Fault{HoldFromTarget: true})
	time.Sleep(length)
	r.link.Set(faultproxy.Fault{})
}
