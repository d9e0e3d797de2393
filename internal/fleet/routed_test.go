package fleet_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/internal/fleet"
	standin "rhubarbpoint/internal/standin/platform"
	"rhubarbpoint/platform"
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

const (
	// changeTime is the time, set by the users' platform, within which a change of routes or a leaving replica must
	// take effect.
	changeTime = 2500 * time.Millisecond
	// streamTime is the duration of a stream.
	streamTime = time.Second
)

// routedFixture is a fleet with routes from the platform's store, and replicas in this process that record the requests
// that they execute.
type routedFixture struct {
	*gomega.WithT
	fleet   *fleet.Fleet
	store   *platform.Client
	ids     atomic.Int64
	stop    chan struct{}
	callers sync.WaitGroup

	mu          sync.Mutex
	revisions   map[string]int64
	executions  map[string]int       // by request ID
	refused     map[string]bool      // request IDs whose caller was told that the request was not executed
	lastRequest map[string]time.Time // by replica
	failures    []string
	served      int
}

func startRouted(t *testing.T, instances int) *routedFixture {
	opts := fleet.DefaultOptions(bin, t.TempDir())
	opts.Regions, opts.EntriesPerRegion, opts.RoutesFromPlatform = 1, instances, true
	f, err := fleet.Start(context.Background(), opts)
	s := &routedFixture{
		WithT: gomega.NewWithT(t), fleet: f, stop: make(chan struct{}), revisions: make(map[string]int64),
		executions: make(map[string]int), refused: make(map[string]bool), lastRequest: make(map[string]time.Time),
	}
	t.Cleanup(func() {
		f.Stop()
		if t.Failed() {
			showLogs(t, opts.Dir)
		}
	})
	s.Expect(err).NotTo(gomega.HaveOccurred())
	s.store = platform.New(f.Platform.Address, nil)
	return s
}

func (s *routedFixture) put(key string, value []byte) {
	revision, err := s.store.Put(context.Background(), key, value, s.revisions[key], 0)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	s.revisions[key] = revision
}

// putRoutes writes a version of the routes to the store; the order route goes to the given service.
func (s *routedFixture) putRoutes(version int64, orders string) {
	route := func(name string, kind traffic.Kind, service string, attempts int) traffic.Route {
		return traffic.Route{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", Kind: kind, Timeout: 4 * time.Second, TargetLatency: 500 * time.Millisecond,
			MaxAttempts: attempts, Resumable: kind == traffic.Stream, Split: []traffic.Share{{Service: service, Weight: 1}},
		}
	}
	s.put(platform.KeyRoutes, platform.EncodeTable(&traffic.Table{
		Version:  version,
		Routes:   []traffic.Route{route("order", traffic.AtMostOnce, orders, 1), route("look", traffic.Idempotent, "a", 2), route("chat", traffic.Stream, "a", 2)},
		Services: map[string]traffic.Service{"a": {Name: "a"}, "b": {Name: "b"}},
	}))
}

// startReplica starts a replica of a service in this process and lists it in the store. The returned function marks it
// as draining there.
func (s *routedFixture) startReplica(id, service string) (drain func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.Expect(err).NotTo(gomega.HaveOccurred())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(id, w, r) })}
	go server.Serve(l)
	entry := upstream.Replica{ID: id, Born: 1, Service: service, Address: l.Addr().String(), Zone: "z", Slots: 64}
	s.put(platform.EncodeReplica(&entry))
	return func() {
		entry.Draining = true
		s.put(platform.EncodeReplica(&entry))
	}
}

// serve is the handler of a replica. It records the request and responds with text or, under /chat/, with a stream.
func (s *routedFixture) serve(id string, w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	request := r.Header.Get(platform.HeaderRequestID)
	s.mu.Lock()
	s.executions[request]++
	s.lastRequest[id] = time.Now()
	s.mu.Unlock()
	w.Header().Set(platform.HeaderRequestID, request)
	w.Header().Set(platform.HeaderSignature, id)
	if !strings.HasPrefix(r.URL.Path, "/chat/") {
		time.Sleep(5 * time.Millisecond)
		fmt.Fprintf(w, "%s by %s", request, id)
		return
	}
	for event := 1; event <= 20; event++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, request)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(streamTime / 20)
	}
}

// startCaller sends requests one after another to an instance until stop is closed, each on a connection of its own.
func (s *routedFixture) startCaller(n *fleet.Node, path string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	s.callers.Go(func() {
		for {
			select {
			case <-s.stop:
				return
			case <-time.After(10 * time.Millisecond):
				s.send(client, n, path)
			}
		}
	})
}

func (s *routedFixture) send(client *http.Client, n *fleet.Node, path string) {
	id := fmt.Sprintf("%s%d", path, s.ids.Add(1))
	req, _ := http.NewRequest(http.MethodPost, "http://"+n.Address+path, strings.NewReader("body"))
	req.Host = "h.example"
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, "4000")
	resp, err := client.Do(req)
	if err != nil {
		return // the instance may be stopped or killed
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		s.refused[id] = true
	case resp.StatusCode == http.StatusNotFound:
		s.failures = append(s.failures, "404 for "+path)
	case resp.StatusCode == http.StatusOK && err == nil:
		s.served++
		want := fmt.Sprintf("%s by %s", id, resp.Header.Get(platform.HeaderSignature))
		if strings.HasPrefix(path, "/chat/") {
			want = ""
			for event := 1; event <= 20; event++ {
				want += fmt.Sprintf("id: %d\ndata: %s\n\n", event, id)
			}
		}
		if string(body) != want {
			s.failures = append(s.failures, fmt.Sprintf("%s %s: %q", path, id, body))
		}
	}
}

// check checks all that callers and replicas have recorded.
func (s *routedFixture) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Expect(s.failures).To(gomega.BeEmpty())
	for id, n := range s.executions {
		if strings.HasPrefix(id, "/order/") {
			s.Expect(n).To(gomega.Equal(1), "order %s", id)
		}
	}
	for id := range s.refused {
		s.Expect(s.executions[id]).To(gomega.BeZero(), "the caller was told that request %s was not executed", id)
	}
}

// Sends requests of all kinds to real processes while instances are stopped, killed and told to read their settings
// again, the store is unavailable, a replica leaves and routes change. Guards against a wrong or truncated response, a
// request that was executed although its caller was told that it was not, a replica that gets requests after it left,
// and a change that does not take effect in time.
func TestRoutedFleetUnderFaults(t *testing.T) {
	t.Parallel()
	s := startRouted(t, 3)
	drain := s.startReplica("i-1", "a")
	s.startReplica("i-2", "a")
	s.startReplica("i-3", "b")
	s.Expect(s.fleet.Ready(s.fleet.Entries[0])).To(gomega.BeFalse(), "an instance without routes is not ready")
	s.putRoutes(3, "a")
	for _, n := range s.fleet.Entries {
		s.Expect(s.fleet.WaitReady(n)).To(gomega.Succeed())
		for _, path := range []string{"/order/1", "/look/1", "/chat/1"} {
			s.startCaller(n, path)
		}
	}
	time.Sleep(time.Second)
	for _, n := range s.fleet.Entries {
		n.Signal(syscall.SIGHUP)
	}
	drain()
	changed := time.Now()
	s.putRoutes(7, "b")
	time.Sleep(changeTime + streamTime)
	s.mu.Lock()
	s.Expect(s.lastRequest["i-1"]).To(gomega.BeTemporally("<", changed.Add(changeTime)), "the leaving replica gets no more requests")
	s.Expect(s.lastRequest["i-3"]).To(gomega.BeTemporally(">", changed), "the new route is in force")
	s.mu.Unlock()

	s.Expect(s.fleet.Admin(t.Context(), s.fleet.Platform, http.MethodPut, "/admin/faults",
		standin.Faults{Outage: standin.OutageRefuse})).To(gomega.Succeed())
	s.fleet.Entries[1].Terminate()
	s.Expect(s.fleet.Entries[1].WaitExit(waitTimeout)).To(gomega.Succeed(), "no request was cut off")
	s.Expect(s.fleet.StartEntry(s.fleet.Entries[1])).To(gomega.Succeed())
	s.Expect(s.fleet.WaitReady(s.fleet.Entries[1])).To(gomega.Succeed(), "the instance gets the routes from a peer while the store is unavailable")
	s.fleet.Entries[2].Kill()
	s.Expect(s.fleet.Entries[2].WaitExit(waitTimeout)).To(gomega.HaveOccurred())
	s.Expect(s.fleet.Admin(t.Context(), s.fleet.Platform, http.MethodPut, "/admin/faults", standin.Faults{})).To(gomega.Succeed())
	s.Expect(s.fleet.StartEntry(s.fleet.Entries[2])).To(gomega.Succeed())
	for _, n := range s.fleet.Entries {
		s.Expect(s.fleet.WaitReady(n)).To(gomega.Succeed())
	}
	before := s.servedCount()
	time.Sleep(time.Second)
	s.Expect(s.servedCount()).To(gomega.BeNumerically(">", before), "requests are served again")
	close(s.stop)
	s.callers.Wait()
	s.check()
}

func (s *routedFixture) servedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served
}
