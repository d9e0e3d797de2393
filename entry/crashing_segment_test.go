package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/platform"
	"rhubarbpoint/upstream"
)

const (
	crashingSegment = "bad1"
	restartTime     = 3 * time.Second
)

// crashingFleet is a fleet whose decode replicas crash when they begin to answer a prompt with a certain segment.
type crashingFleet struct {
	*routedFleet
	started  time.Time
	restarts sync.WaitGroup
	stopped  atomic.Bool
	crashes  atomic.Int32
	arrivals atomic.Int32 // of requests with the segment, at any replica
	// failing makes decode replicas respond to every second request with the segment with an error of their own.
	failing bool
}

func newCrashingFleet(s *routedFleet, prefill, decode int) *crashingFleet {
	c := &crashingFleet{routedFleet: s, started: time.Now()}
	for range prefill {
		s.replica("model", upstream.Prefill, func(w http.ResponseWriter, r *http.Request) {
			c.countArrival(r)
			fmt.Fprint(w, `{"handle":"h","tokens":9000,"version":1}`)
		})
	}
	for range decode {
		c.startDecode()
	}
	return c
}

func (c *crashingFleet) countArrival(r *http.Request) bool {
	crashing := hasSegment(r, crashingSegment)
	if crashing {
		c.arrivals.Add(1)
	}
	return crashing
}

func (c *crashingFleet) startDecode() {
	var addr string
	addr = c.replica("model", upstream.Decode, func(w http.ResponseWriter, r *http.Request) {
		if !c.countArrival(r) {
			writeEvents(w, 0, 2)
			return
		}
		if c.failing && c.arrivals.Load()%4 == 0 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.WriteHeader(http.StatusOK)
		http.NewResponseController(w).Flush()
		time.Sleep(50 * time.Millisecond)
		c.crashes.Add(1)
		c.replicas.Remove(r.Header.Get(platform.HeaderExpectInstance))
		c.restarts.Go(func() {
			time.Sleep(restartTime)
			if !c.stopped.Load() {
				c.startDecode()
			}
		})
		c.net.Kill(addr)
	})
}

func (c *crashingFleet) stop() {
	c.stopped.Store(true)
	c.restarts.Wait()
}

// generate sends a request that differs from all others, with its own last segment after the given ones.
func (c *crashingFleet) generate(segments string) *callResult {
	n := c.next.Add(1)
	return c.call(fmt.Sprintf("/grade/%d", n), platform.HeaderTokens, "9190,2", platform.HeaderPrefix,
		fmt.Sprintf("%s,%x:2890", segments, 0x1000+n), platform.HeaderDeadline, "2000")
}

func hasSegment(r *http.Request, id string) bool {
	return strings.Contains(","+r.Header.Get(platform.HeaderPrefix), ","+id+":")
}

// Guards against requests that differ but share a prompt segment and crash replicas without end.
func TestSegmentThatCrashesReplicasIsRefused(t *testing.T) { expectSegmentRefused(t, false) }

// Guards against a replica's error response that clears a segment although the replica has not begun to answer the prompt.
func TestErrorResponseDoesNotClearSegment(t *testing.T) { expectSegmentRefused(t, true) }

func expectSegmentRefused(t *testing.T, failing bool) {
	const (
		soundSegments = "a1:4800,b1:1500"
		allSegments   = soundSegments + "," + crashingSegment + ":400"
		knownAfter    = 4 * time.Second // after the fifth crash
		maxLate       = 3               // requests with the segment that may still reach a replica after that
	)
	inRoutedFleet(t, func(s *routedFleet) {
		c := newCrashingFleet(s, 2, 3)
		c.failing = failing
		defer c.stop()
		for c.crashes.Load() < 5 {
			c.generate(allSegments)
			c.generate(soundSegments)
			time.Sleep(100 * time.Millisecond)
			if time.Since(c.started) > time.Minute {
				break // the segment is refused after fewer crashes
			}
		}
		time.Sleep(knownAfter)
		arrivals := c.arrivals.Load()
		served := 0
		for range 100 {
			bad := c.generate(allSegments)
			s.Expect(bad.status).NotTo(gomega.Equal(http.StatusOK))
			if sound := c.generate(soundSegments); sound.err == nil && sound.status == http.StatusOK {
				served++
			}
			time.Sleep(100 * time.Millisecond)
		}
		s.Expect(c.arrivals.Load() - arrivals).To(gomega.BeNumerically("<=", maxLate))
		s.Expect(served).To(gomega.BeNumerically(">=", 50), "sound requests with the same first segments")
		refused := c.generate(allSegments)
		s.Expect(refused.status).To(gomega.Equal(http.StatusServiceUnavailable))
		s.Expect(refused.body).To(gomega.ContainSubstring(`"run":"not_run"`))
	})
}
