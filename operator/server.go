// Package operator serves the operator listener: health, metrics, the state of each part, and the configuration. It has
// no access control of its own; the listener belongs on an address that only operators reach.
package operator

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/config/manager"
)

// Options are what the handler shows.
type Options struct {
	// Manager holds the configuration. Without one the calls for the configuration do not exist.
	Manager *manager.Manager
	// Members returns the live members with the versions they have in force, this instance included.
	Members func() []Member
	// Ready returns why this instance is not ready, or nil. Without a configuration it is never ready.
	Ready func() error
	// Metrics may be nil, and so may State.
	Metrics metrics.Registry
	State   *StateRegistry
}

// Server is the operator listener's handler. It is safe for concurrent use.
type Server struct {
	opts Options
}

// NewServer returns a handler.
func NewServer(opts Options) *Server {
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	if opts.State == nil {
		opts.State = NewStateRegistry()
	}
	return &Server{opts: opts}
}

// Handler returns the operators' HTTP interface, which docs/operator-api.md describes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { reply(w, Health{OK: true}) })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("GET /debug/state", s.state)
	if s.opts.Manager == nil {
		return mux
	}
	mux.HandleFunc("GET /v1/config", s.config)
	mux.HandleFunc("PUT /v1/config", s.seed)
	mux.HandleFunc("GET /v1/config/diff", s.diff)
	mux.HandleFunc("POST /v1/config/diff", s.propose)
	mux.HandleFunc("PUT /v1/config/sections/{name}", s.edit)
	mux.HandleFunc("GET /v1/config/rollout", s.rollout)
	return mux
}

// Health is the answer of /healthz and /readyz.
type Health struct {
	OK     bool   `json:"ok"`
	Reason string `json:"reason,omitempty"`
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	var reason error
	switch {
	case s.opts.Manager != nil && !s.opts.Manager.Ready():
		reason = errors.New("no configuration document yet")
	case s.opts.Ready != nil:
		reason = s.opts.Ready()
	}
	if reason == nil {
		reply(w, Health{OK: true})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	json.NewEncoder(w).Encode(Health{Reason: reason.Error()})
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	WriteMetrics(w, s.opts.Metrics)
}

func (s *Server) state(w http.ResponseWriter, r *http.Request) {
	dump, err := s.opts.State.Dump(r.FormValue("part"))
	if err != nil {
		fail(w, &Error{Code: CodeNotFound, Message: err.Error()})
		return
	}
	reply(w, dump)
}

func reply(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	out := json.NewEncoder(w)
	out.SetIndent("", "  ")
	out.Encode(answer)
}
