// Package engine is a small stand-in for an LLM engine. Its output is a function of model, version and messages, so
// that tests can tell whether a response is complete and belongs to its request. It implements continuous batching, a
// prefix cache and orders, and can inject faults.
package engine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"rhubarbpoint/engine"
)

// Engine serves the stand-in's HTTP interface. It is safe for concurrent use.
type Engine struct {
	opts  Options
	epoch string

	mu       sync.Mutex
	batch    batch
	cache    *prefixCache
	reports  reportLog
	kv       kvStore
	orders   orderState
	faults   Faults
	draining bool
	// lastConn is the number of the latest connection; connections up to silentConn carry no more data.
	lastConn, silentConn int64
}

// New returns a stand-in engine with an epoch of its own.
func New(opts Options) *Engine {
	opts = opts.withDefaults()
	e := &Engine{
		opts: opts, epoch: uuid.NewString(),
		cache:  newPrefixCache(opts.CacheBlocks, opts.CacheEventDelay, opts.CacheEventLoss),
		kv:     newKVStore(),
		orders: orderState{role: opts.Role, models: append([]engine.LoadedModel(nil), opts.Models...)},
	}
	e.recordLoad()
	return e
}

// Handler returns the HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", e.generate)
	mux.HandleFunc("POST /v1/cancel", e.cancel)
	mux.HandleFunc("GET /v1/load", e.load)
	mux.HandleFunc("GET /v1/cache-events", e.cacheEvents)
	mux.HandleFunc("GET /v1/state", e.state)
	mux.HandleFunc("POST /v1/orders", e.order)
	mux.HandleFunc("POST /v1/kv/export", e.exportKV)
	mux.HandleFunc("POST /v1/kv/import", e.importKV)
	mux.HandleFunc("POST /admin/faults", e.setFaults)
	mux.HandleFunc("POST /admin/silence", e.handleSilence)
	mux.HandleFunc("POST /admin/drain", func(http.ResponseWriter, *http.Request) { e.Drain() })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.isSilent(connID(r)) {
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// Server returns an HTTP server that numbers its connections, which Silence needs.
func (e *Engine) Server() *http.Server {
	return &http.Server{
		Handler: e.Handler(),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.lastConn++
			return context.WithValue(ctx, connKey{}, e.lastConn)
		},
	}
}

// Drain makes the engine refuse new requests from now on. Accepted requests continue.
func (e *Engine) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
	e.recordLoad()
}

// Stop drains the engine and shuts the server down once the last request has ended. It returns the context's cause if
// the context ends first.
func (e *Engine) Stop(ctx context.Context, server *http.Server) error {
	e.Drain()
	for e.busy() {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(idlePoll):
		}
	}
	return server.Shutdown(ctx)
}

// idlePoll is the interval at which Stop and orders check whether requests are left. It is short compared with the time
// that an engine takes to drain.
const idlePoll = 50 * time.Millisecond

func (e *Engine) busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.batch.size() > 0
}

type connKey struct{}

func connID(r *http.Request) int64 {
	conn, _ := r.Context().Value(connKey{}).(int64)
	return conn
}

func (e *Engine) isSilent(conn int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return conn > 0 && conn <= e.silentConn
}
