package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the time between two writes of a replica to the store.
const heartbeat = 1200 * time.Millisecond

// entry is what a replica writes to the store under its ID.
type entry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Cold     int    `json:"cold_remaining_ms"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

// replica is a stand-in of a replica of a plain service.
type replica struct {
	id     string
	store  *store
	record *record
	server *http.Server

	mu      sync.Mutex
	entry   entry
	running int
}

// slots is the number of requests that a replica processes at once.
const slots = 6

// startReplica starts a replica, which registers itself and keeps its entry up to date.
func startReplica(id, service, zone string, s *store, rec *record) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, store: s, record: rec, entry: entry{
		Service: service, Address: l.Addr().String(), Zone: zone, Version: "v1", Slots: slots, State: "ready", Born: time.Now().UnixMilli(),
	}}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	r.beat()
	go func() {
		for range time.Tick(heartbeat) {
			r.beat()
		}
	}()
	return r, nil
}

func (r *replica) key() string { return "servers/" + r.id }

// own returns the replica's own entry.
func (r *replica) own() entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entry
}

// beat writes the entry. The stored entry changes only when more than the sequence does.
func (r *replica) beat() {
	r.mu.Lock()
	r.entry.Sequence++
	next := r.entry
	r.mu.Unlock()
	var stored entry
	if json.Unmarshal(r.store.value(r.key()), &stored) == nil {
		stored.Sequence = next.Sequence
		if stored == next {
			return
		}
	}
	value, _ := json.Marshal(next)
	r.store.write(r.key(), value)
}

// ServeHTTP runs a request, unless it is meant for another replica.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if _, err := io.ReadAll(req.Body); err != nil {
		return
	}
	id, own := req.Header.Get(names.Request), r.own()
	w.Header().Set(names.Request, id)
	if expected := req.Header.Get(names.Expect); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set(names.Instance, r.id)
	r.mu.Lock()
	r.running++
	w.Header().Set(names.Load, fmt.Sprintf("%d,0,%d", r.running, slots))
	r.mu.Unlock()
	r.record.run(run{request: id, replica: r.id, service: own.Service, target: req.Method + " " + req.RequestURI})
	time.Sleep(15 * time.Millisecond)
	r.mu.Lock()
	r.running--
	r.mu.Unlock()
	w.Header().Set(names.Signature, r.id)
	_, _ = io.WriteString(w, "answer of "+own.Service+" to "+id+"\n")
}
