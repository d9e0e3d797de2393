package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/platform"
	"rhubarbpoint/upstream"
)

const (
	// pauseBegins is how long after the refusal requests may still arrive, and pausedArrivals how many may after it.
	pauseBegins    = 500 * time.Millisecond
	pausedArrivals = 2
)

// pausingReplica is a replica that turns requests away with a pause from time to time.
type pausingReplica struct {
	pause time.Duration

	mu       sync.Mutex
	until    time.Time // of the last pause
	since    time.Time
	arrivals int // within the last pause, after pauseBegins
	most     int // of arrivals
	served   int
}

// handle responds with body, or turns the request away.
func (p *pausingReplica) handle(w http.ResponseWriter, body string) {
	p.mu.Lock()
	now := time.Now()
	full := p.served%10 == 9
	if now.Before(p.until) && now.Sub(p.since) > pauseBegins {
		p.arrivals++
		p.most = max(p.most, p.arrivals)
	}
	p.served++
	if full && now.After(p.until) {
		p.since, p.until, p.arrivals = now, now.Add(p.pause), 0
	}
	p.mu.Unlock()
	if full {
		w.Header().Set(platform.HeaderNotRun, "1")
		w.Header().Set(platform.HeaderRetryAfter, strconv.FormatFloat(p.pause.Seconds(), 'f', -1, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(20 * time.Millisecond)
	io.WriteString(w, body)
}

// callAll sends requests to all paths from several callers at once and returns the share that was answered.
// Each request has a prompt of its own.
func (s *routedFleet) callAll(paths []string) float64 {
	var callers sync.WaitGroup
	var answered atomic.Int64
	const callersCount, calls = 8, 300
	for n := range callersCount {
		callers.Go(func() {
			for m := range calls {
				prefix := fmt.Sprintf("%x:9000", n*calls+m+1)
				if g := s.call(paths[n%len(paths)], platform.HeaderTokens, "9000,2", platform.HeaderPrefix, prefix); g.err == nil && g.status == http.StatusOK {
					answered.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	return float64(answered.Load()) / (callersCount * calls)
}

// Guards against requests to a replica that has turned one away and asked for a pause: by other callers, on other routes,
// by retries, by requests that were in flight, or for prompts that are processed before another replica decodes.
func TestPausedReplicaGetsNoRequests(t *testing.T) {
	const events = "id: 1\ndata: x\n\n"
	for _, pause := range []time.Duration{800 * time.Millisecond, 3 * time.Second, 20 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			inRoutedFleet(t, func(s *routedFleet) {
				var all []*pausingReplica
				pausing := func(service string, stage upstream.Stage, body string) {
					p := &pausingReplica{pause: pause}
					all = append(all, p)
					s.replica(service, stage, func(w http.ResponseWriter, _ *http.Request) { p.handle(w, body) })
					s.replica(service, stage, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, body) })
				}
				pausing("plain", upstream.Whole, "ok")
				pausing("model", upstream.Prefill, `{"handle":"h","tokens":9000,"version":1}`)
				pausing("model", upstream.Decode, events)
				s.Expect(s.callAll([]string{"/look/1", "/order/1"})).To(gomega.BeNumerically(">=", 0.99), "refused requests go to another replica")
				s.Expect(s.callAll([]string{"/chat/1", "/grade/1"})).To(gomega.BeNumerically(">=", 0.99), "refused requests go to another replica")
				for n, p := range all {
					s.Expect(p.most).To(gomega.BeNumerically("<=", pausedArrivals), "replica %d", n)
					s.Expect(p.served).To(gomega.BeNumerically(">", 10), "requests return to replica %d after the pause", n)
				}
			})
		})
	}
}

// Guards against a request that waits while all replicas pause, and against a Retry-After before the first one takes
// requests again.
func TestRequestIsRejectedWhileAllReplicasPause(t *testing.T) {
	inRoutedFleet(t, func(s *routedFleet) {
		const pause = 4 * time.Second
		var arrivals atomic.Int64
		s.replica("plain", upstream.Whole, func(w http.ResponseWriter, _ *http.Request) {
			if arrivals.Add(1) > 1 {
				io.WriteString(w, "ok")
				return
			}
			w.Header().Set(platform.HeaderNotRun, "1")
			w.Header().Set(platform.HeaderRetryAfter, "4")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		start := time.Now()
		for _, path := range []string{"/order/1", "/look/1", "/order/1"} {
			g := s.call(path)
			s.Expect(g.status).To(gomega.Equal(http.StatusServiceUnavailable))
			s.Expect(g.took).To(gomega.BeNumerically("<", 300*time.Millisecond))
			after, err := strconv.ParseFloat(g.header.Get(platform.HeaderRetryAfter), 64)
			s.Expect(err).NotTo(gomega.HaveOccurred())
			s.Expect(after).To(gomega.BeNumerically(">=", (pause - time.Since(start)).Seconds()))
		}
		s.Expect(arrivals.Load()).To(gomega.BeNumerically("==", 1))
		time.Sleep(pause * 11 / 10)
		s.Expect(s.call("/look/1").status).To(gomega.Equal(http.StatusOK))
	})
}
