package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/config"
	"rhubarbpoint/entry"
	"rhubarbpoint/internal/pipenet"
	"rhubarbpoint/place"
	"rhubarbpoint/platform"
	"rhubarbpoint/relay"
	"rhubarbpoint/retry"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

// site is one instance that serves routes, with replicas written as handlers, in virtual time.
type site struct {
	gomega.Gomega
	net      *pipenet.Network
	table    atomic.Pointer[traffic.Table]
	replicas *upstream.Registry
	front    *entry.HTTPServer
	served   chan error
	client   *http.Client
	next     atomic.Int64
}

const (
	onceTimeout   = 2 * time.Second
	streamTimeout = 15 * time.Second
)

func siteTable() *traffic.Table {
	to := func(service string) []traffic.Share { return []traffic.Share{{Service: service, Weight: 1}} }
	target := 250 * time.Millisecond
	return &traffic.Table{
		Version: 1,
		Routes: []traffic.Route{
			{Name: "order", Host: "h", Prefix: "/order/", Kind: traffic.AtMostOnce, MaxAttempts: 1, Timeout: onceTimeout, TargetLatency: target, Split: to("plain")},
			{Name: "look", Host: "h", Prefix: "/look/", Kind: traffic.Idempotent, MaxAttempts: 2, Timeout: onceTimeout, TargetLatency: target, Split: to("plain")},
			{Name: "chat", Host: "h", Prefix: "/chat/", Kind: traffic.Stream, Resumable: true, MaxAttempts: 2, Timeout: streamTimeout, TargetLatency: target, Split: to("model")},
			{Name: "grade", Host: "h", Prefix: "/grade/", Kind: traffic.Stream, MaxAttempts: 1, Timeout: onceTimeout, TargetLatency: target, Split: to("model")},
		},
		Services: map[string]traffic.Service{
			"plain": {Name: "plain"}, "model": {Name: "model", Engine: &traffic.Engine{Slots: 8, KVTokens: 100_000}},
		},
	}
}

func inSite(t *testing.T, test func(s *site)) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{Gomega: gomega.NewWithT(t), net: pipenet.New(), replicas: upstream.NewRegistry(), served: make(chan error, 1)}
		s.table.Store(siteTable())
		server := entry.NewServer(entry.Options{
			Document: func() *config.Document { return nil }, Routing: &entry.Routing{
				Table: s.table.Load, Replicas: s.replicas, Balancer: place.NewBalancer(place.Options{Zone: "z"}), Dialect: platform.Dialect{},
				Pool: relay.NewPool(s.net.Dial), Budgets: retry.NewServiceBudgets(0.2, 10*time.Second),
			},
		})
		s.front = entry.NewHTTPServer(server)
		listener := s.net.Listen(entryAddr)
		go func() { s.served <- s.front.Serve(listener) }()
		s.client = &http.Client{Transport: &http.Transport{DialContext: s.net.Dial, DisableKeepAlives: true}}
		defer func() {
			s.client.CloseIdleConnections()
			s.Expect(s.front.Drain(0, time.Second)).To(gomega.Succeed())
			s.net.Close()
		}()
		test(s)
	})
}

// replica starts a replica of a service. The handler gets requests with the answer's usual header set.
func (s *site) replica(service string, stage upstream.Stage, handle http.HandlerFunc) string {
	n := s.next.Add(1)
	id, addr := fmt.Sprintf("i-%d", n), fmt.Sprintf("10.9.0.%d:80", n)
	go (&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		w.Header().Set(platform.HeaderSignature, "signed by "+id)
		handle(w, r)
	})}).Serve(s.net.Listen(addr))
	s.replicas.Put(upstream.Replica{ID: id, Service: service, Address: addr, Zone: "z", Stage: stage})
	return addr
}

// got is what a caller sees.
type got struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

func (s *site) call(path string, fields ...string) *got {
	return s.send(http.MethodPost, path, fields...)
}

func (s *site) send(method, path string, fields ...string) *got {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entryAddr+path, strings.NewReader("body"))
	s.Expect(err).NotTo(gomega.HaveOccurred())
	req.Host = "h"
	req.Header.Set(platform.HeaderRequestID, strconv.FormatInt(s.next.Add(1), 10))
	req.Header.Set(platform.HeaderDeadline, "20000")
	for i := 0; i < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	start := time.Now()
	resp, err := s.client.Do(req)
	if err != nil {
		return &got{err: err, took: time.Since(start)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return &got{resp.StatusCode, resp.Header, string(body), err, time.Since(start)}
}

func events(w http.ResponseWriter, from, to int) {
	for id := from; id <= to; id++ {
		fmt.Fprintf(w, "id: %d\ndata: x%d\n\n", id, id)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func notExecuted(w http.ResponseWriter, _ *http.Request) {
	w.Header().Del(platform.HeaderSignature)
	w.Header().Set(platform.HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// cut ends the connection in the middle of what was written.
func cut(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}

func (s *site) signed(g *got, by string) {
	s.Expect(g.header.Get(platform.HeaderSignature)).To(gomega.Equal(by))
}

// Guards against an answer whose status, body or signature is not the replica's, and against a request that reaches the
// replica changed.
func TestARoutedAnswerIsTheReplicas(t *testing.T) {
	inSite(t, func(s *site) {
		s.replica("plain", upstream.Whole, func(w http.ResponseWriter, r *http.Request) {
			s.Expect([]string{r.Method, r.RequestURI, r.Host}).To(gomega.Equal([]string{"POST", "/order/a%2Fb?c=1;2", "h"}))
			s.Expect(r.Header.Get(platform.HeaderExpectInstance)).To(gomega.Equal("i-1"))
			s.Expect(r.Header).NotTo(gomega.HaveKey(platform.HeaderKVSource))
			w.WriteHeader(http.StatusTeapot)
			io.WriteString(w, "answer")
		})
		g := s.call("/order/a%2Fb?c=1;2", platform.HeaderKVSource, "10.0.0.1:1/forged", platform.HeaderExpectInstance, "other")
		s.Expect(g.err).NotTo(gomega.HaveOccurred())
		s.Expect([]any{g.status, g.body}).To(gomega.Equal([]any{http.StatusTeapot, "answer"}))
		s.signed(g, "signed by i-1")
	})
}

// Guards against an answer to HEAD that says nothing of the length that the replica stated, or states one of its own.
func TestAnAnswerToHeadKeepsItsLength(t *testing.T) {
	inSite(t, func(s *site) {
		s.replica("plain", upstream.Whole, func(w http.ResponseWriter, r *http.Request) {
			if r.RequestURI == "/look/known" {
				w.Header().Set("Content-Length", "1234")
			}
			w.WriteHeader(http.StatusOK)
		})
		for path, want := range map[string]string{"/look/known": "1234", "/look/unknown": ""} {
			g := s.send(http.MethodHead, path)
			s.Expect(g.err).NotTo(gomega.HaveOccurred())
			s.Expect([]any{g.status, g.header.Get("Content-Length")}).To(gomega.Equal([]any{http.StatusOK, want}))
		}
	})
}

// Guards against an error of this instance that bears a replica's signature, and against a 503 for a request that ran.
func TestAFailureAfterTheSendIsNoRefusal(t *testing.T) {
	for _, path := range []string{"/order/1", "/grade/1"} {
		inSite(t, func(s *site) {
			runs := 0
			broken := func(w http.ResponseWriter, _ *http.Request) {
				runs++
				w.Header().Set("Content-Length", "100")
				io.WriteString(w, "id: 1\n")
				http.NewResponseController(w).Flush()
				cut(w)
			}
			for range 2 {
				s.replica("plain", upstream.Whole, broken)
				s.replica("model", upstream.Whole, broken)
			}
			g := s.call(path)
			s.Expect(g.err).NotTo(gomega.HaveOccurred())
			s.Expect(g.status).To(gomega.Equal(http.StatusBadGateway))
			s.Expect(g.header).NotTo(gomega.HaveKey(platform.HeaderSignature))
			s.Expect(g.header).NotTo(gomega.HaveKey(platform.HeaderRetryAfter))
			s.Expect(runs).To(gomega.Equal(1))
		})
	}
}

// Guards against a request that is answered as refused although a replica could run it, and against a refusal that says
// nothing about when to come back.
func TestARefusedRequestGoesElsewhere(t *testing.T) {
	inSite(t, func(s *site) {
		s.replica("plain", upstream.Whole, notExecuted)
		g := s.call("/order/1")
		s.Expect(g.status).To(gomega.Equal(http.StatusServiceUnavailable))
		after, err := strconv.ParseFloat(g.header.Get(platform.HeaderRetryAfter), 64)
		s.Expect(err).NotTo(gomega.HaveOccurred())
		s.Expect(after).To(gomega.BeNumerically(">", 0))
		s.replica("plain", upstream.Whole, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ran") })
		for i := range 20 {
			s.Expect(s.call("/look/" + strconv.Itoa(i)).body).To(gomega.Equal("ran"))
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Guards against a failed idempotent request that is repeated at the replica that failed it, or not at all.
func TestAnIdempotentRequestIsRepeatedElsewhere(t *testing.T) {
	inSite(t, func(s *site) {
		failed := 0
		s.replica("plain", upstream.Whole, func(w http.ResponseWriter, _ *http.Request) {
			failed++
			w.WriteHeader(http.StatusInternalServerError)
		})
		s.replica("plain", upstream.Whole, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "good") })
		for i := range 10 {
			g := s.call("/look/" + strconv.Itoa(i))
			// The retry budget allows two repeats for the first ten requests.
			if failed <= 2 {
				s.Expect(g.body).To(gomega.Equal("good"))
			}
		}
		s.Expect(failed).To(gomega.BeNumerically(">", 0))
	})
}

// Guards against a stream that is joined with a gap or a repeat after its replica broke off, and one that changes its
// signature on the way.
func TestAResumableStreamContinuesElsewhere(t *testing.T) {
	inSite(t, func(s *site) {
		asked := make(chan string, 2)
		handle := func(w http.ResponseWriter, r *http.Request) {
			after := r.Header.Get(platform.HeaderLastEvent)
			asked <- after
			if after == "" {
				events(w, 1, 3)
				io.WriteString(w, "id: 4\nda")
				http.NewResponseController(w).Flush()
				cut(w)
				return
			}
			events(w, 3, 6) // one event more than was asked for
		}
		s.replica("model", upstream.Whole, handle)
		s.replica("model", upstream.Whole, handle)
		g := s.call("/chat/1")
		s.Expect(g.err).NotTo(gomega.HaveOccurred())
		want := ""
		for id := 1; id <= 6; id++ {
			want += fmt.Sprintf("id: %d\ndata: x%d\n\n", id, id)
		}
		s.Expect(g.body).To(gomega.Equal(want))
		s.Expect(<-asked).To(gomega.BeEmpty())
		s.Expect(<-asked).To(gomega.Equal("3"))
	})
}

// Guards against a broken stream that looks complete.
func TestABrokenStreamDoesNotLookComplete(t *testing.T) {
	inSite(t, func(s *site) {
		s.replica("model", upstream.Whole, func(w http.ResponseWriter, _ *http.Request) {
			events(w, 1, 2)
			cut(w)
		})
		g := s.call("/grade/1")
		s.Expect(g.status).To(gomega.Equal(http.StatusOK))
		s.Expect(g.err).To(gomega.HaveOccurred())
	})
}

// Guards against a request that is held beyond its route's time limit.
func TestTheRoutesTimeLimitEndsARequest(t *testing.T) {
	inSite(t, func(s *site) {
		s.replica("plain", upstream.Whole, hang)
		g := s.call("/order/1")
		s.Expect(g.status).To(gomega.Equal(http.StatusGatewayTimeout))
		s.Expect(g.took).To(gomega.BeNumerically("~", onceTimeout, 50*time.Millisecond))
		g = s.call("/order/1", platform.HeaderDeadline, "300")
		s.Expect(g.took).To(gomega.BeNumerically("~", 300*time.Millisecond, 50*time.Millisecond))
	})
}

// Guards against a caller's departure that the replica does not learn of within half a second.
func TestACallerThatLeavesEndsTheRun(t *testing.T) {
	inSite(t, func(s *site) {
		ended := make(chan time.Time, 1)
		s.replica("model", upstream.Whole, func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			ended <- time.Now()
		})
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, "POST", "http://"+entryAddr+"/chat/1", strings.NewReader("b"))
		s.Expect(err).NotTo(gomega.HaveOccurred())
		req.Host = "h"
		req.Header.Set(platform.HeaderRequestID, "1")
		req.Header.Set(platform.HeaderDeadline, "9000")
		time.AfterFunc(time.Second, cancel)
		_, err = s.client.Do(req)
		s.Expect(err).To(gomega.HaveOccurred())
		left := time.Now()
		s.Expect((<-ended).Sub(left)).To(gomega.BeNumerically("<", 500*time.Millisecond))
	})
}

// Guards against a long prompt that is processed beside running answers, and against a prompt that is processed twice or
// passed to the caller as an answer.
func TestALongPromptIsProcessedElsewhere(t *testing.T) {
	inSite(t, func(s *site) {
		source := s.replica("model", upstream.Prefill, func(w http.ResponseWriter, r *http.Request) {
			s.Expect(r.Header.Get(platform.HeaderStage)).To(gomega.Equal("prefill"))
			w.Header().Del(platform.HeaderSignature)
			io.WriteString(w, `{"handle":"abc","tokens":5000,"version":1}`)
		})
		s.replica("model", upstream.Decode, func(w http.ResponseWriter, r *http.Request) {
			s.Expect(r.Header.Get(platform.HeaderKVSource)).To(gomega.Equal(source + "/abc"))
			s.Expect(r.Header).NotTo(gomega.HaveKey(platform.HeaderStage))
			events(w, 1, 1)
		})
		g := s.call("/grade/1", platform.HeaderTokens, "5000,2", platform.HeaderPrefix, "a:2000,b:3000")
		s.Expect(g.err).NotTo(gomega.HaveOccurred())
		s.Expect([]any{g.status, g.body}).To(gomega.Equal([]any{http.StatusOK, "id: 1\ndata: x1\n\n"}))
		s.signed(g, "signed by i-2")
	})
}

// Guards against a prompt that is handed over to the replica that was best before it was processed, although that replica
// leaves or has filled up since.
func TestTheAnswererIsChosenWhenThePromptIsProcessed(t *testing.T) {
	inSite(t, func(s *site) {
		var answered []string
		answer := func(name string) http.HandlerFunc {
			return func(w http.ResponseWriter, _ *http.Request) {
				answered = append(answered, name)
				events(w, 1, 2)
			}
		}
		near := s.replica("model", upstream.Decode, answer("near"))
		far := s.replica("model", upstream.Decode, answer("far"))
		s.replicas.Put(upstream.Replica{ID: "i-2", Service: "model", Address: far, Zone: "other", Stage: upstream.Decode})
		s.replica("model", upstream.Prefill, func(w http.ResponseWriter, _ *http.Request) {
			s.replicas.Put(upstream.Replica{ID: "i-1", Service: "model", Address: near, Zone: "z", Stage: upstream.Decode, Draining: true})
			w.Write(platform.EncodeCacheHandle("h", 9000))
		})
		g := s.call("/grade/x", platform.HeaderTokens, "9000,2", platform.HeaderPrefix, "1:2500,2:3800,3:2700")
		s.Expect([]any{g.err, g.status}).To(gomega.Equal([]any{nil, http.StatusOK}))
		s.Expect(answered).To(gomega.Equal([]string{"far"}))
	})
}

// Guards against answers before the first routes are known, and against a 404 for a path that may have a route.
func TestWithoutRoutesNothingIsDenied(t *testing.T) {
	inSite(t, func(s *site) {
		s.table.Store(nil)
		g := s.call("/order/1")
		s.Expect(g.status).To(gomega.Equal(http.StatusServiceUnavailable))
		s.Expect(g.header.Get(platform.HeaderRetryAfter)).NotTo(gomega.BeEmpty())
		s.table.Store(siteTable())
		s.Expect(s.call("/none/1").status).To(gomega.Equal(http.StatusNotFound))
	})
}

// Guards against a request that is taken when it can no longer end before the planned stop.
func TestAPlannedStopRefusesLateRequests(t *testing.T) {
	inSite(t, func(s *site) {
		s.replica("model", upstream.Whole, func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 300) })
		running := make(chan *got, 1)
		go func() { running <- s.call("/chat/1") }()
		time.Sleep(100 * time.Millisecond)
		stopped := make(chan error, 1)
		go func() { stopped <- s.front.Drain(2*time.Second, 4*time.Second) }()
		time.Sleep(time.Second)
		g := s.call("/chat/2", platform.HeaderDeadline, "50")
		s.Expect(g.status).NotTo(gomega.Equal(http.StatusServiceUnavailable), "the balancer still sends callers")
		conn, err := s.net.Dial(context.Background(), "tcp", entryAddr)
		s.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(1500 * time.Millisecond)
		fmt.Fprintf(conn, "GET /chat/3 HTTP/1.1\r\nHost: h\r\n%s: 3\r\n%s: 9000\r\n\r\n", platform.HeaderRequestID, platform.HeaderDeadline)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		s.Expect(err).NotTo(gomega.HaveOccurred())
		s.Expect(resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable), "too late to end before the stop")
		conn.Close()
		g = <-running
		s.Expect(g.err).NotTo(gomega.HaveOccurred(), "a request in flight ends")
		s.Expect(<-stopped).To(gomega.Succeed())
	})
}

// Guards against a request that crashes every replica that runs it and is sent on until none is left.
func TestARequestThatCrashesReplicasIsStopped(t *testing.T) {
	inSite(t, func(s *site) {
		crashes := 0
		for range 6 {
			var addr string
			addr = s.replica("plain", upstream.Whole, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/look/poison" {
					io.WriteString(w, "good")
					return
				}
				crashes++
				s.net.Kill(addr)
				cut(w)
			})
		}
		var last *got
		for range 6 {
			last = s.call("/look/poison")
			time.Sleep(5 * time.Second)
		}
		s.Expect(crashes).To(gomega.BeNumerically("<=", 3))
		s.Expect(last.status).To(gomega.Equal(http.StatusServiceUnavailable))
		s.Expect(last.body).To(gomega.ContainSubstring(`"run":"not_run"`))
		s.Expect(s.call("/look/1").body).To(gomega.Equal("good"))
	})
}

// Guards against a replica that takes requests and never answers, to which requests are sent on and on.
func TestASilentReplicaIsAvoided(t *testing.T) {
	inSite(t, func(s *site) {
		s.replica("plain", upstream.Whole, hang)
		s.replica("plain", upstream.Whole, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "good") })
		failed := 0
		for range 40 {
			if s.call("/order/1", platform.HeaderDeadline, "300").body != "good" {
				failed++
			}
		}
		s.Expect(failed).To(gomega.BeNumerically(">", 0))
		s.Expect(failed).To(gomega.BeNumerically("<=", 8))
	})
}
