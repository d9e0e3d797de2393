package entry_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/entry"
	"rhubarbpoint/hedge"
	"rhubarbpoint/memory"
	"rhubarbpoint/platform"
	"rhubarbpoint/suspect"
	"rhubarbpoint/upstream"
)

const (
	usualTime = 20 * time.Millisecond
	slowTime  = 1500 * time.Millisecond
	// measuredRequests is the number of requests after which response times are known and the limit allows second attempts.
	measuredRequests = 120
)

// hedgedFleet is a fleet of two replicas of a plain service that allows second attempts. The replica that gets the first
// attempt of a request is the one that the request reaches first.
type hedgedFleet struct {
	*routedFleet
	metrics   metrics.Registry
	hedging   *entry.Hedging
	suspects  *suspect.Table
	first     http.HandlerFunc // handles first attempts, nil for the usual answer
	second    http.HandlerFunc
	attempts  atomic.Int64 // of the current request
	cancelled chan string
	account   *memory.Account
}

func inHedgedFleet(t *testing.T, test func(s *hedgedFleet)) {
	f := &hedgedFleet{
		metrics: metrics.NewRegistry(), hedging: &entry.Hedging{Services: hedge.NewServices(0.1, 10*time.Second)},
		suspects: suspect.New(suspect.Options{Self: "entry"}), cancelled: make(chan string, 4), account: memory.NewAccount(memory.Bounds{}),
	}
	configure := func(o *entry.Options) {
		o.Metrics, o.Suspects, o.Memory, o.Routing.Hedging = f.metrics, f.suspects, f.account, f.hedging
	}
	inRoutedFleet(t, func(s *routedFleet) {
		f.routedFleet = s
		for range 3 {
			s.replica("plain", upstream.Whole, func(w http.ResponseWriter, r *http.Request) {
				handle := f.first
				if f.attempts.Add(1) > 1 {
					handle = f.second
				}
				if handle != nil {
					handle(w, r)
					return
				}
				time.Sleep(usualTime)
				io.WriteString(w, "usual")
			})
		}
		for range measuredRequests {
			f.attempts.Store(0)
			s.Expect(s.call("/look/1").body).To(gomega.Equal("usual"))
		}
		f.attempts.Store(0)
		test(f)
	}, configure)
}

// slow answers late, or reports that its caller has left.
func (f *hedgedFleet) slow(name string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			f.cancelled <- name
		case <-time.After(slowTime):
			io.WriteString(w, name)
		}
	}
}

// after answers with a status after a time.
func after(delay time.Duration, status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(delay)
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

func (f *hedgedFleet) counter(name string) int64 {
	return metrics.GetOrRegisterCounter("hedge."+name, f.metrics).Count()
}

// Guards against a caller that waits for a slow replica although another one has answered, and against a first attempt
// that keeps running.
func TestSecondAttemptWinsAndFirstIsCancelled(t *testing.T) {
	inHedgedFleet(t, func(f *hedgedFleet) {
		f.first = f.slow("first")
		g := f.call("/look/1")
		f.Expect([]any{g.status, g.body}).To(gomega.Equal([]any{http.StatusOK, "usual"}))
		f.Expect(g.took).To(gomega.BeNumerically("<", 10*usualTime))
		f.Expect(<-f.cancelled).To(gomega.Equal("first"))
		f.Expect([]int64{f.counter("sent"), f.counter("won"), f.counter("cancelled")}).To(gomega.Equal([]int64{1, 1, 1}))
	})
}

// Guards against a request that counts as usage for each of its attempts: a cancelled first and a second one, and two that
// fail with a retry after them.
func TestSecondAttemptCountsOnceAsUsage(t *testing.T) {
	for name, handlers := range map[string]func(f *hedgedFleet) (first, second http.HandlerFunc){
		"cancelled": func(f *hedgedFleet) (first, second http.HandlerFunc) { return f.slow("first"), nil },
		"failed": func(*hedgedFleet) (first, second http.HandlerFunc) {
			return after(200*time.Millisecond, http.StatusInternalServerError, "first"), after(300*time.Millisecond, http.StatusInternalServerError, "second")
		},
	} {
		t.Run(name, func(t *testing.T) {
			inHedgedFleet(t, func(f *hedgedFleet) {
				f.first, f.second = handlers(f)
				f.call("/look/1", headerWorkspace, "w")
				time.Sleep(time.Second) // the cancelled attempt has ended
				f.Expect(f.counter("sent")).To(gomega.BeNumerically("==", 1))
				f.Expect(f.begun("w")).To(gomega.BeEquivalentTo(1))
			})
		})
	}
}

// Guards against a failed answer that is passed on although the other attempt runs and succeeds, whichever of them
// failed.
func TestFailedAnswerDoesNotWin(t *testing.T) {
	fail := after(200*time.Millisecond, http.StatusInternalServerError, "failed")
	good := after(400*time.Millisecond, http.StatusOK, "good")
	for _, handlers := range [][2]http.HandlerFunc{{fail, good}, {good, fail}} {
		inHedgedFleet(t, func(f *hedgedFleet) {
			f.first, f.second = handlers[0], handlers[1]
			g := f.call("/look/1")
			f.Expect([]any{g.status, g.body}).To(gomega.Equal([]any{http.StatusOK, "good"}))
			f.Expect([]int64{f.attempts.Load(), f.counter("sent"), f.counter("cancelled")}).To(gomega.Equal([]int64{2, 1, 0}))
		})
	}
}

// Guards against a third attempt after two parallel ones have failed, which max_attempts forbids, and against a failure
// of one of them that is not recorded.
func TestBothAttemptsCountInMaxAttempts(t *testing.T) {
	inHedgedFleet(t, func(f *hedgedFleet) {
		f.first = after(200*time.Millisecond, http.StatusInternalServerError, "first")
		f.second = after(300*time.Millisecond, http.StatusInternalServerError, "second")
		g := f.call("/look/1")
		f.Expect([]any{g.status, g.body}).To(gomega.Equal([]any{http.StatusInternalServerError, "second"}))
		f.Expect(f.attempts.Load()).To(gomega.BeNumerically("==", 2))
	})
}

// Guards against the bytes of a response that another one has replaced, which stay in the account until the request ends.
func TestReplacedResponsesAreGivenBack(t *testing.T) {
	inHedgedFleet(t, func(f *hedgedFleet) {
		table := routedTable()
		table.Routes[1].MaxAttempts = 3
		f.table.Store(table)
		failed, held := strings.Repeat("x", 10_000), make(chan int64, 1)
		f.first = after(200*time.Millisecond, http.StatusInternalServerError, failed)
		f.second = func(w http.ResponseWriter, r *http.Request) {
			if f.attempts.Load() == 3 {
				held <- f.account.Held()
			}
			after(300*time.Millisecond, http.StatusInternalServerError, failed)(w, r)
		}
		f.call("/look/1")
		f.Expect(<-held).To(gomega.BeNumerically("~", len(failed), 1000))
		synctest.Wait() // the caller has the whole response before the instance has finished the request
		f.Expect(f.account.Held()).To(gomega.BeZero())
	})
}

// Guards against attempts that keep running after the caller has left.
func TestCallerLeavingCancelsBothAttempts(t *testing.T) {
	inHedgedFleet(t, func(f *hedgedFleet) {
		f.first, f.second = f.slow("first"), f.slow("second")
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entryAddr+"/look/1", nil)
		f.Expect(err).NotTo(gomega.HaveOccurred())
		req.Host = "h"
		req.Header.Set(platform.HeaderRequestID, "leaver")
		req.Header.Set(platform.HeaderDeadline, "9000")
		time.AfterFunc(500*time.Millisecond, cancel)
		_, err = f.client.Do(req)
		f.Expect(err).To(gomega.HaveOccurred())
		left := time.Now()
		f.Expect([]string{<-f.cancelled, <-f.cancelled}).To(gomega.ConsistOf("first", "second"))
		f.Expect(time.Since(left)).To(gomega.BeNumerically("<", 100*time.Millisecond))
	})
}

// Guards against second attempts of a request that may crash replicas, of requests that may run only once and of
// streams, and against any while the operator allows none.
func TestNoSecondAttempt(t *testing.T) {
	for _, c := range []struct {
		name, path, denied string
		prepare            func(f *hedgedFleet)
	}{
		{"suspect", "/look/1", "suspect", func(f *hedgedFleet) {
			tracked, err := f.suspects.Begin(time.Now(), "other", suspect.ContentFingerprint("POST", "/look/1", "h", "body"))
			f.Expect(err).NotTo(gomega.HaveOccurred())
			tracked.RecordCrash(time.Now())
			tracked.End(time.Now())
		}},
		{"at most once", "/order/1", "", func(*hedgedFleet) {}},
		{"not allowed by the route", "/look/1", "attempts", func(f *hedgedFleet) {
			table := routedTable()
			table.Routes[1].MaxAttempts = 1
			f.table.Store(table)
		}},
		{"not allowed by the operator", "/look/1", "", func(f *hedgedFleet) { f.hedging.Services = hedge.NewServices(0, 10*time.Second) }},
		{"no other replica", "/look/1", "no_replica", func(f *hedgedFleet) {
			for _, id := range []string{"i-2", "i-3"} {
				f.replicas.Put(upstream.Replica{ID: id, Service: "plain", Address: "10.9.0." + id[2:] + ":80", Zone: "z", Draining: true})
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inHedgedFleet(t, func(f *hedgedFleet) {
				c.prepare(f)
				f.first = f.slow("first")
				f.Expect(f.call(c.path).body).To(gomega.Equal("first"))
				f.Expect([]int64{f.attempts.Load(), f.counter("sent")}).To(gomega.Equal([]int64{1, 0}))
				if c.denied != "" {
					f.Expect(f.counter("denied." + c.denied)).To(gomega.BeNumerically("==", 1))
				}
			})
		})
	}
}

// Guards against a replica that never responds and still gets requests, because second attempts replace its responses
// before it counts as silent.
func TestSilentReplicaIsEjectedDespiteSecondAttempts(t *testing.T) {
	inHedgedFleet(t, func(f *hedgedFleet) {
		var reached atomic.Int64
		f.replica("plain", upstream.Whole, func(w http.ResponseWriter, r *http.Request) {
			reached.Add(1)
			hang(w, r)
		})
		for range 40 {
			f.attempts.Store(0)
			f.Expect(f.call("/look/1").body).To(gomega.Equal("usual"))
		}
		f.Expect(reached.Load()).To(gomega.BeNumerically("~", 3, 1))
	})
}
