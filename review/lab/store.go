package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is an entry of the store as it is sent.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store. It keeps its history for historyTime and pages ranges at 500 items or
// 1 MB.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []change
	floor    int64 // the history after this revision is kept
	leases   map[int64]*lease
	changed  chan struct{}
}

type change struct {
	at   time.Time
	item item
}

type lease struct {
	ttl time.Duration
	end time.Time
}

const (
	historyTime = 20 * time.Second
	pageItems   = 500
	pageBytes   = 1 << 20
	maxWait     = 30 * time.Second
)

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expire(time.Now())
		}
	}()
	return s
}

func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
	n := 0
	for n < len(s.history) && now.Sub(s.history[n].at) > historyTime {
		s.floor = s.history[n].item.Revision
		n++
	}
	s.history = s.history[n:]
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

// put and remove change a key at the current revision. The caller holds the lock and has increased the revision.
func (s *store) put(key string, value []byte, lease int64) {
	created := s.revision
	if old, found := s.items[key]; found {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = it
	s.record(it)
}

func (s *store) remove(key string) {
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) record(it item) {
	s.history = append(s.history, change{time.Now(), it})
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a key as the operator or a replica does, and returns the time of the acknowledgement.
func (s *store) Put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, data, 0)
	return time.Now()
}

// Remove deletes a key.
func (s *store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; found {
		s.revision++
		s.remove(key)
	}
}

// gate is the path of one instance to the store.
type gate struct {
	store *store
	addr  string
	// busy makes the store turn this instance away with 503.
	busy atomic.Bool
	// largest is the size of the largest response to a watch.
	largest atomic.Int64
}

// newGate opens an address of the store for one instance.
func (s *store) newGate() *gate {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("store: %v", err)
	}
	g := &gate{store: s, addr: listener.Addr().String()}
	go http.Serve(listener, g)
	return g
}

func reply(w http.ResponseWriter, status int, body any) int {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
	return len(data)
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := g.store
	if g.busy.Load() {
		reply(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	query := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-watch":
		g.watch(w, r)
	case r.URL.Path == "/kv-range":
		s.mu.Lock()
		defer s.mu.Unlock()
		var keys []string
		for key := range s.items {
			if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
				keys = append(keys, key)
			}
		}
		sort.Strings(keys)
		items, size := []item{}, 0
		for _, key := range keys {
			if len(items) >= pageItems || size > 0 && size+len(s.items[key].Value) > pageBytes {
				break
			}
			items, size = append(items, s.items[key]), size+len(s.items[key].Value)
		}
		reply(w, http.StatusOK, map[string]any{"items": items, "has_more": len(items) < len(keys), "at": s.revision})
	case r.URL.Path == "/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		if it, found := s.items[query.Get("key")]; found {
			reply(w, http.StatusOK, it)
			return
		}
		reply(w, http.StatusNotFound, struct{}{})
	case r.URL.Path == names.WritePath:
		s.txn(w, r)
	case r.URL.Path == "/kv-lease":
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		json.NewDecoder(r.Body).Decode(&body)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.revision++
		ttl := time.Duration(body.TTL) * time.Millisecond
		s.leases[s.revision] = &lease{ttl, time.Now().Add(ttl)}
		reply(w, http.StatusOK, map[string]int64{"lease": s.revision, "ttl_ms": body.TTL})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-keep/"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[id]
		if l == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		l.end = time.Now().Add(l.ttl)
		reply(w, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leases[id] == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		s.endLease(id)
		reply(w, http.StatusOK, struct{}{})
	default:
		reply(w, http.StatusNotFound, struct{}{})
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Conditions []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"precondition"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Removes []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []item{}
	failed := false
	for _, c := range body.Conditions {
		it, found := s.items[c.Key]
		if found {
			current = append(current, it)
		}
		failed = failed || it.Revision != c.Revision
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range body.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.revision++
	for _, p := range body.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Removes {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (g *gate) watch(w http.ResponseWriter, r *http.Request) {
	s, query := g.store, r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	millis, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	end := time.Now().Add(min(time.Duration(millis)*time.Millisecond, maxWait))
	for {
		s.mu.Lock()
		if after < s.floor {
			s.mu.Unlock()
			reply(w, http.StatusGone, struct{}{})
			return
		}
		events := []item{}
		for _, c := range s.history {
			if c.item.Revision > after && strings.HasPrefix(c.item.Key, query.Get("prefix")) {
				events = append(events, c.item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if left := time.Until(end); len(events) > 0 || left <= 0 {
			size := int64(reply(w, http.StatusOK, map[string]any{"events": events, "at": revision}))
			g.largest.Store(max(g.largest.Load(), size))
			return
		} else {
			select {
			case <-changed:
			case <-time.After(left):
			case <-r.Context().Done():
				return
			}
		}
		if g.busy.Load() { // a waiting watch is cut
			reply(w, http.StatusServiceUnavailable, struct{}{})
			return
		}
	}
}
