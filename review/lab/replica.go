package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// replica is a stand-in of a replica of a service. serve answers the requests that carry its ID.
type replica struct {
	id, service, addr, stage string
	slots                    int
	born                     int64
	store                    *store
	serve                    func(r *replica, w http.ResponseWriter, req *http.Request)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// start listens and lists the replica in the store.
func (r *replica) start() {
	if r.addr == "" {
		r.addr = freeAddr()
	}
	listener, err := net.Listen("tcp", r.addr)
	if err != nil {
		fatal("replica: %v", err)
	}
	r.mu.Lock()
	r.listener, r.conns, r.born = listener, map[net.Conn]bool{}, time.Now().UnixMilli()
	r.mu.Unlock()
	server := &http.Server{
		Handler: http.HandlerFunc(r.handle),
		ConnState: func(c net.Conn, state http.ConnState) {
			r.mu.Lock()
			defer r.mu.Unlock()
			switch state {
			case http.StateNew:
				r.conns[c] = true
			case http.StateClosed:
				delete(r.conns, c)
			}
		},
	}
	go server.Serve(listener)
	r.list("ready")
}

// list writes the replica's entry.
func (r *replica) list(state string) time.Time {
	entry := map[string]any{
		"service": r.service, "address": r.addr, "zone": "nadi-a", "version": 1, "slots": r.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": 1, "born": r.born,
	}
	if r.stage != "" {
		entry["stage"] = r.stage
	}
	return r.store.Put("servers/"+r.id, entry)
}

// crash ends the replica: nothing listens any more, and its connections are reset.
func (r *replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener.Close()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
}

func (r *replica) handle(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := req.Header.Get(names.ExpectedReplica); expected != "" && expected != r.id {
		record.printf("replica %s answers %s with 421", r.id, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.serve(r, w, req)
}

// sign sets the signature that a replica gives its answers.
func (r *replica) sign(w http.ResponseWriter, req *http.Request) {
	w.Header().Set(names.Signature, fmt.Sprintf("%s.%s", r.id, req.Header.Get("Request-Id")))
}

// waitFor waits until a condition holds and fails the run if it does not within the time.
func waitFor(what string, limit time.Duration, condition func() bool) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for !condition() {
		if ctx.Err() != nil {
			fatal("%s: not within %s", what, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
