package soak

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"rhubarbpoint/platform"
)

// stream writes the events of a stream after the last one that the caller has, or all of them, with the given fault. It
// breaks some streams off at all times.
func (r *replica) stream(w http.ResponseWriter, req *http.Request, software string, fault replicaFault, breaksOff bool) {
	request := req.Header.Get(platform.HeaderRequestID)
	random := r.cluster.randomFor(request + r.entry.ID)
	first := 1
	if last, err := strconv.Atoi(req.Header.Get(platform.HeaderLastEvent)); err == nil && random.IntN(4) > 0 {
		first = last + 1
	}
	event := func(n int) string {
		return (&parsedEvent{n, request, r.entry.Service, software, r.entry.ID}).text()
	}
	share := breakShare
	if fault == breakStreams {
		share = faultyBreakShare
	}
	end := randomFraming(random)
	if random.IntN(share) == 0 && fault != truncateResponses && fault != omitLengths {
		b := newBreakOff(random, end, first)
		r.cluster.recorder.recordBrokenOff(request, b.String(), b.whole())
		if end == withoutLength {
			r.setOpen(request, true)
			defer r.setOpen(request, false)
		}
		b.run(w, first, event)
		return
	}
	if fault == omitLengths {
		end = withoutLength
	}
	end.set(w.Header(), streamLength(first, event))
	if end == withoutLength {
		r.setOpen(request, true)
		defer r.setOpen(request, false)
	}
	control := http.NewResponseController(w)
	for n := first; n <= streamEvents; n++ {
		if fault == truncateResponses && n == max(first, streamEvents/2) {
			r.cluster.recorder.recordBrokenOff(request, "by a truncation", end == withoutLength)
			panic(http.ErrAbortHandler)
		}
		if breaksOff && n == max(first, streamEvents/2) {
			r.cluster.recorder.recordBrokenOff(request, "by a reset without length", false)
			reset(w)
			return
		}
		io.WriteString(w, event(n))
		if control.Flush() != nil {
			return
		}
		time.Sleep(streamPause)
	}
	r.cluster.recorder.recordResponse(request)
}

func (r *replica) setOpen(request string, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !open {
		delete(r.open, request)
		return
	}
	r.open[request] = true
	if r.restarting {
		r.cluster.recorder.recordBrokenOff(request, "by a restart", true)
	}
}
