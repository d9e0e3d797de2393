// Package operator implements the HTTP interface for operators: health, metrics, the state of each part, and the
// configuration. It has no access control of its own; its listener belongs on an address that only operators can reach.
package operator

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"rhubarbpoint/config/manager"
	"rhubarbpoint/explain"
)

// Options are the sources of what the server shows.
type Options struct {
	// Manager holds the configuration. If it is nil, the server has no endpoints for the configuration.
	Manager *manager.Manager
	// Members returns the members with the versions that they have in force, this instance included.
	Members func() []Member
	// Ready returns the reason why this instance is not ready, or nil. An instance without a configuration document in
	// its Manager is never ready.
	Ready func() error
	// Metrics may be nil, and so may State.
	Metrics metrics.Registry
	State   *StateRegistry
	// Explain tells how the instance would serve a request. It is nil if the instance serves no routes.
	Explain func(explain.Request) explain.Result
}

// Server serves requests of operators. It is safe for concurrent use.
type Server struct {
	opts Options
}

// NewServer returns a server.
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
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, Health{OK: true}) })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("GET /debug/state", s.state)
	mux.HandleFunc("POST /debug/explain", s.explain)
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

// Health is the response of /healthz and /readyz.
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
		writeJSON(w, Health{OK: true})
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
		writeError(w, &Error{Code: CodeNotFound, Message: err.Error()})
		return
	}
	writeJSON(w, dump)
}

// explain tells how the instance would serve a request. It sends nothing and changes nothing.
func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	if s.opts.Explain == nil {
		writeError(w, &Error{Code: CodeNotFound, Message: "this instance serves no routes"})
		return
	}
	body, err := readBody(r)
	if err != nil {
		writeError(w, translate(err))
		return
	}
	req, err := explain.ParseRequest(body)
	if err != nil {
		writeError(w, translate(err))
		return
	}
	writeJSON(w, s.opts.Explain(*req))
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	out := json.NewEncoder(w)
	out.SetIndent("", "  ")
	out.Encode(value)
}
