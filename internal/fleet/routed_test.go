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

// Times that the users' platform sets: a change of routes or a leaving replica takes effect within these.
const (
	changeTime = 2500 * time.Millisecond
	streamTime = time.Second
)

// routedSite is a fleet with routes from the platform's store, and replicas in this process that note what they run.
type routedSite struct {
	*gomega.WithT
	fleet *fleet.Fleet
	store *platform.Client
	ids   atomic.Int64
	stop  chan struct{}
	load  sync.WaitGroup

	mu        sync.Mutex
	revisions map[string]int64
	runs      map[string]int       // executions by request ID
	refused   map[string]bool      // request IDs that were told not to have run
	last      map[string]time.Time // of the last request by replica
	wrong     []string
	served    int
}

func startRouted(t *testing.T, instances int) *routedSite {
	opts := fleet.DefaultOptions(bin, t.TempDir())
	opts.Regions, opts.EntriesPerRegion, opts.RoutesFromPlatform = 1, instances, true
	f, err := fleet.Start(context.Background(), opts)
	s := &routedSite{
		WithT: gomega.NewWithT(t), fleet: f, stop: make(chan struct{}), revisions: make(map[string]int64),
		runs: make(map[string]int), refused: make(map[string]bool), last: make(map[string]time.Time),
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

func (s *routedSite) put(key string, value []byte) {
	revision, err := s.store.Put(context.Background(), key, value, s.revisions[key], 0)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	s.revisions[key] = revision
}

// routes puts a version of the routes in force; the order route goes to the given service.
func (s *routedSite) routes(version int64, orders string) {
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

// replica serves a service in this process and lists it in the store.
func (s *routedSite) replica(id, service string) (drain func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.Expect(err).NotTo(gomega.HaveOccurred())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.run(id, w, r) })}
	go server.Serve(l)
	entry := upstream.Replica{ID: id, Born: 1, Service: service, Address: l.Addr().String(), Zone: "z", Slots: 64}
	s.put(platform.EncodeReplica(&entry))
	return func() {
		entry.Draining = true
		s.put(platform.EncodeReplica(&entry))
	}
}

// run is what a replica does with a request.
func (s *routedSite) run(id string, w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	request := r.Header.Get(platform.HeaderRequestID)
	s.mu.Lock()
	s.runs[request]++
	s.last[id] = time.Now()
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

// play sends requests one after another to an instance until the site stops, each on a connection of its own.
func (s *routedSite) play(n *fleet.Node, path string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	s.load.Go(func() {
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

func (s *routedSite) send(client *http.Client, n *fleet.Node, path string) {
	id := fmt.Sprintf("%s%d", path, s.ids.Add(1))
	req, _ := http.NewRequest(http.MethodPost, "http://"+n.Address+path, strings.NewReader("body"))
	req.Host = "h.example"
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, "4000")
	resp, err := client.Do(req)
	if err != nil {
		return // an instance that does not run promises nothing
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		s.refused[id] = true
	case resp.StatusCode == http.StatusNotFound:
		s.wrong = append(s.wrong, "404 for "+path)
	case resp.StatusCode == http.StatusOK && err == nil:
		s.served++
		whole := fmt.Sprintf("%s by %s", id, resp.Header.Get(platform.HeaderSignature))
		if strings.HasPrefix(path, "/chat/") {
			whole = ""
			for event := 1; event <= 20; event++ {
				whole += fmt.Sprintf("id: %d\ndata: %s\n\n", event, id)
			}
		}
		if string(body) != whole {
			s.wrong = append(s.wrong, fmt.Sprintf("%s %s: %q", path, id, body))
		}
	}
}

// check looks at everything that callers and replicas have seen.
func (s *routedSite) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Expect(s.wrong).To(gomega.BeEmpty())
	for id, n := range s.runs {
		if strings.HasPrefix(id, "/order/") {
			s.Expect(n).To(gomega.Equal(1), "order %s", id)
		}
	}
	for id := range s.refused {
		s.Expect(s.runs[id]).To(gomega.BeZero(), "request %s was told not to have run", id)
	}
}

// Plays requests of all kinds against real processes while instances are stopped, killed and told to read their settings,
// the store is away, replicas leave and routes change. Guards against an answer that is wrong or cut, a false refusal, a
// replica that gets requests after it left, and a change that is not in force in time.
func TestRoutedFleetUnderFaults(t *testing.T) {
	t.Parallel()
	s := startRouted(t, 3)
	drain := s.replica("i-1", "a")
	s.replica("i-2", "a")
	s.replica("i-3", "b")
	s.Expect(s.fleet.Ready(s.fleet.Entries[0])).To(gomega.BeFalse(), "no routes yet")
	s.routes(3, "a")
	for _, n := range s.fleet.Entries {
		s.Expect(s.fleet.WaitReady(n)).To(gomega.Succeed())
		for _, path := range []string{"/order/1", "/look/1", "/chat/1"} {
			s.play(n, path)
		}
	}
	time.Sleep(time.Second)
	for _, n := range s.fleet.Entries {
		n.Signal(syscall.SIGHUP)
	}
	drain()
	left := time.Now()
	s.routes(7, "b")
	time.Sleep(changeTime + streamTime)
	s.mu.Lock()
	s.Expect(s.last["i-1"]).To(gomega.BeTemporally("<", left.Add(changeTime)), "a leaving replica")
	s.Expect(s.last["i-3"]).To(gomega.BeTemporally(">", left), "the new route")
	s.mu.Unlock()

	s.Expect(s.fleet.Admin(t.Context(), s.fleet.Platform, http.MethodPut, "/admin/faults",
		standin.Faults{Outage: standin.OutageRefuse})).To(gomega.Succeed())
	s.fleet.Entries[1].Terminate()
	s.Expect(s.fleet.Entries[1].WaitExit(long)).To(gomega.Succeed(), "no request was cut off")
	s.Expect(s.fleet.StartEntry(s.fleet.Entries[1])).To(gomega.Succeed())
	s.Expect(s.fleet.WaitReady(s.fleet.Entries[1])).To(gomega.Succeed(), "routes come from a peer while the store is away")
	s.fleet.Entries[2].Kill()
	s.Expect(s.fleet.Entries[2].WaitExit(long)).To(gomega.HaveOccurred())
	s.Expect(s.fleet.Admin(t.Context(), s.fleet.Platform, http.MethodPut, "/admin/faults", standin.Faults{})).To(gomega.Succeed())
	s.Expect(s.fleet.StartEntry(s.fleet.Entries[2])).To(gomega.Succeed())
	for _, n := range s.fleet.Entries {
		s.Expect(s.fleet.WaitReady(n)).To(gomega.Succeed())
	}
	before := s.count()
	time.Sleep(time.Second)
	s.Expect(s.count()).To(gomega.BeNumerically(">", before), "requests are served again")
	close(s.stop)
	s.load.Wait()
	s.check()
}

func (s *routedSite) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served
}
