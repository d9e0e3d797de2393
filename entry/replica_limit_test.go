package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/platform"
	"rhubarbpoint/upstream"
)

// limitedReplica names a limit in its answers, while it has one, and records when requests arrive.
type limitedReplica struct {
	mu       sync.Mutex
	limit    float64
	arrivals []time.Time
}

func (l *limitedReplica) arrive(w http.ResponseWriter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, time.Now())
	if l.limit > 0 {
		w.Header().Set(platform.HeaderLimit, fmt.Sprint(l.limit))
	}
}

func (l *limitedReplica) setLimit(limit float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

// most returns the largest number of arrivals in a window since a time.
func (l *limitedReplica) most(since time.Time, window time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most, first := 0, 0
	for i, at := range l.arrivals {
		if at.Before(since) {
			first = i + 1
			continue
		}
		for at.Sub(l.arrivals[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a replica that gets more requests than it says it takes, or stays limited after it has said so.
func TestLimitOfReplicaIsKept(t *testing.T) {
	const (
		limit      = 5.0 // requests a second
		knownAfter = 4 * time.Second
		window     = 4 * time.Second
		allowed    = limit*1.5*4 + 5
		interval   = 20 * time.Millisecond // between requests
	)
	for _, c := range []struct {
		name, path string
		start      func(s *routedFleet, limited *limitedReplica)
	}{
		{"plain service", "/look/1", func(s *routedFleet, limited *limitedReplica) {
			for i := range 3 {
				s.replica("plain", upstream.Whole, func(w http.ResponseWriter, _ *http.Request) {
					if i == 0 {
						limited.arrive(w)
					}
					io.WriteString(w, "good")
				})
			}
		}},
		{"prefill", "/grade/1", func(s *routedFleet, limited *limitedReplica) {
			for i := range 3 {
				s.replica("model", upstream.Prefill, func(w http.ResponseWriter, _ *http.Request) {
					if i == 0 {
						limited.arrive(w)
					}
					io.WriteString(w, `{"handle":"h","tokens":9000,"version":1}`)
				})
			}
			s.replica("model", upstream.Decode, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 0, 0) })
		}},
		{"decode", "/grade/1", func(s *routedFleet, limited *limitedReplica) {
			s.replica("model", upstream.Prefill, func(w http.ResponseWriter, _ *http.Request) {
				io.WriteString(w, `{"handle":"h","tokens":9000,"version":1}`)
			})
			for i := range 3 {
				s.replica("model", upstream.Decode, func(w http.ResponseWriter, _ *http.Request) {
					if i == 0 {
						limited.arrive(w)
					}
					writeEvents(w, 0, 0)
				})
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inRoutedFleet(t, func(s *routedFleet) {
				limited := &limitedReplica{limit: limit}
				c.start(s, limited)
				served, sent := 0, 0
				var calls sync.WaitGroup
				var mu sync.Mutex
				load := func(duration time.Duration) {
					for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
						n := s.next.Add(1)
						calls.Go(func() {
							r := s.call(c.path, platform.HeaderTokens, "9190,2", platform.HeaderPrefix, fmt.Sprintf("%x:300,%x:8890", 0x100+n%16, 0x1000+n))
							mu.Lock()
							defer mu.Unlock()
							sent++
							if r.err == nil && r.status == http.StatusOK {
								served++
							}
						})
					}
				}
				start := time.Now()
				load(15 * time.Second)
				s.Expect(limited.most(start.Add(knownAfter), window)).To(gomega.BeNumerically("<=", allowed))
				s.Expect(limited.most(start.Add(knownAfter), window)).To(gomega.BeNumerically(">=", limit*4/2), "the limit is made use of")
				limited.setLimit(0)
				ended := time.Now()
				load(10 * time.Second)
				calls.Wait()
				s.Expect(limited.most(ended, window)).To(gomega.BeNumerically(">", allowed), "the limit has ended")
				s.Expect(served).To(gomega.BeNumerically(">=", sent*99/100))
			})
		})
	}
}
