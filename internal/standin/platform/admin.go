package platform

import (
	"encoding/json"
	"net/http"

	"rhubarbpoint/topo"
)

// Calls are the numbers of calls by operation since the start. Calls refused by the rate limit count as Limited only.
type Calls struct {
	Executed map[topo.Op]int64 `json:"executed"`
	Limited  map[topo.Op]int64 `json:"limited"`
}

// ControlRecord is what the control API has received, and how that violates what the platform requires.
type ControlRecord struct {
	Calls      []ControlCall `json:"calls"`
	Violations []string      `json:"violations"`
}

// HandlerWithSilence returns Handler with one more endpoint, POST /admin/silence, which makes all open connections of
// the listener stop carrying data. The response to that call is lost as well.
func (p *Platform) HandlerWithSilence(l *Listener) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", p.Handler())
	mux.HandleFunc("POST /admin/silence", func(http.ResponseWriter, *http.Request) { l.Silence() })
	return mux
}

// handleAdmin adds the endpoints by which tests and the demo inject faults and change the instance list:
//
//	PUT    /admin/faults                  replaces the injected faults (Faults); {} ends all
//	POST   /admin/forget                  drops the history of the store, so that watches must start again
//	POST   /admin/copy                    copies the store
//	POST   /admin/restore                 restores the store from the last copy, as an empty one without a copy
//	GET    /admin/calls                   returns the numbers of calls by operation (Calls)
//	PUT    /admin/control-faults          replaces the faults of the control API (ControlFaults); {} ends all
//	GET    /admin/control                 returns the calls of the control API and their violations (ControlRecord)
//	PUT    /admin/instances               registers an instance (topo.Instance)
//	POST   /admin/instances/{id}/leaving  marks an instance as leaving
//	DELETE /admin/instances/{id}          removes an instance; its ID is never listed again
func (p *Platform) handleAdmin(mux *http.ServeMux) {
	mux.HandleFunc("PUT /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var next Faults
		if err := decodeStrict(r, &next); err != nil {
			reply(w, nil, err)
			return
		}
		p.faults.set(next)
		reply(w, next, nil)
	})
	mux.HandleFunc("POST /admin/forget", func(w http.ResponseWriter, _ *http.Request) {
		p.store.Compact()
		reply(w, struct{}{}, nil)
	})
	mux.HandleFunc("POST /admin/copy", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.copy = p.store.Copy()
		reply(w, struct{}{}, nil)
	})
	mux.HandleFunc("POST /admin/restore", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.store.Restore(p.copy)
		reply(w, struct{}{}, nil)
	})
	mux.HandleFunc("GET /admin/calls", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, Calls{Executed: p.store.Calls(), Limited: p.rateLimited.all()}, nil)
	})
	mux.HandleFunc("PUT /admin/control-faults", func(w http.ResponseWriter, r *http.Request) {
		var next ControlFaults
		if err := decodeStrict(r, &next); err != nil {
			reply(w, nil, err)
			return
		}
		p.control.SetFaults(next)
		reply(w, next, nil)
	})
	mux.HandleFunc("GET /admin/control", func(w http.ResponseWriter, _ *http.Request) {
		calls := p.control.Calls()
		reply(w, ControlRecord{Calls: calls, Violations: Violations(calls)}, nil)
	})
	mux.HandleFunc("PUT /admin/instances", func(w http.ResponseWriter, r *http.Request) {
		var instance topo.Instance
		err := decodeStrict(r, &instance)
		if err == nil {
			err = p.directory.Register(instance)
		}
		reply(w, instance, err)
	})
	mux.HandleFunc("POST /admin/instances/{id}/leaving", func(w http.ResponseWriter, r *http.Request) {
		reply(w, struct{}{}, p.directory.MarkLeaving(r.PathValue("id")))
	})
	mux.HandleFunc("DELETE /admin/instances/{id}", func(w http.ResponseWriter, r *http.Request) {
		reply(w, struct{}{}, p.directory.Remove(r.PathValue("id")))
	})
}

func decodeStrict(r *http.Request, into any) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	return dec.Decode(into)
}
