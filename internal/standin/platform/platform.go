// Package platform is a small stand-in for the platform: it serves topo/memtopo over HTTP, with rate limits, call counts
// and injected faults, in the wire format of topo/httptopo.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"rhubarbpoint/topo"
	"rhubarbpoint/topo/httptopo"
	"rhubarbpoint/topo/memtopo"
)

// Options set the limits of the stand-in. Zero values mean the defaults.
type Options struct {
	// WritesPerSecond is 500 by default, ReadsPerSecond 2,000. A burst of one second is allowed.
	WritesPerSecond int
	ReadsPerSecond  int
	// ListLag is how long a change of the instance list stays unseen.
	ListLag time.Duration
	// Seed makes the choice of calls that get a fault repeatable.
	Seed uint64
}

// Platform serves the stand-in's HTTP interface. It is safe for concurrent use.
type Platform struct {
	store     *memtopo.Store
	directory *memtopo.Directory
	faults    *faults
	writes    *rate.Limiter
	reads     *rate.Limiter
	limited   *counts
}

// New returns a stand-in with an empty store and an empty instance list.
func New(opts Options) *Platform {
	if opts.WritesPerSecond == 0 {
		opts.WritesPerSecond = 500
	}
	if opts.ReadsPerSecond == 0 {
		opts.ReadsPerSecond = 2000
	}
	faults := newFaults(opts.Seed)
	return &Platform{
		store:     memtopo.New(faults),
		directory: memtopo.NewDirectory(opts.ListLag),
		faults:    faults,
		writes:    rate.NewLimiter(rate.Limit(opts.WritesPerSecond), opts.WritesPerSecond),
		reads:     rate.NewLimiter(rate.Limit(opts.ReadsPerSecond), opts.ReadsPerSecond),
		limited:   newCounts(),
	}
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv", p.limit(topo.OpGet, p.get))
	mux.HandleFunc("PUT /v1/kv", p.limit(topo.OpPut, p.put))
	mux.HandleFunc("DELETE /v1/kv", p.limit(topo.OpDelete, p.delete))
	mux.HandleFunc("GET /v1/list", p.limit(topo.OpList, p.list))
	mux.HandleFunc("GET /v1/watch", p.limit(topo.OpWatch, p.watch))
	mux.HandleFunc("POST /v1/leases", p.limit(topo.OpGrant, p.grant))
	mux.HandleFunc("POST /v1/leases/keepalive", p.limit(topo.OpKeepAlive, p.keepAlive))
	mux.HandleFunc("DELETE /v1/leases", p.limit(topo.OpRevoke, p.revoke))
	mux.HandleFunc("GET /v1/instances", p.instances)
	p.handleAdmin(mux)
	return mux
}

// handler runs one call and returns its answer.
type handler func(r *http.Request) (any, error)

// limit applies the rate limit and writes the answer. A waiting watch takes one token, as the platform counts it.
func (p *Platform) limit(op topo.Op, h handler) http.HandlerFunc {
	limiter := p.reads
	if op.Writes() {
		limiter = p.writes
	}
	return func(w http.ResponseWriter, r *http.Request) {
		if !limiter.Allow() {
			p.limited.add(op)
			reply(w, nil, topo.ErrRateLimited)
			return
		}
		if p.faults.hangs() {
			io.Copy(io.Discard, r.Body) // an unread body would hide that the client is gone
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		answer, err := h(r)
		reply(w, answer, err)
	}
}

// reply writes an answer. An unknown outcome reaches the caller as a broken connection, as a lost answer does.
func reply(w http.ResponseWriter, answer any, err error) {
	if errors.Is(err, topo.ErrAmbiguous) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		w.WriteHeader(status(err))
		answer = httptopo.Error{Code: httptopo.CodeOf(err), Message: err.Error()}
	}
	json.NewEncoder(w).Encode(answer)
}

func status(err error) int {
	switch {
	case errors.Is(err, topo.ErrNotFound), errors.Is(err, topo.ErrLeaseNotFound):
		return http.StatusNotFound
	case errors.Is(err, topo.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, topo.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, topo.ErrRateLimited):
		return http.StatusTooManyRequests
	case errors.Is(err, topo.ErrUnavailable):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

func (p *Platform) get(r *http.Request) (any, error) {
	return p.store.Get(r.Context(), r.FormValue("key"))
}

func (p *Platform) list(r *http.Request) (any, error) {
	entries, err := p.store.List(r.Context(), r.FormValue("prefix"))
	return append([]topo.Entry{}, entries...), err
}

func (p *Platform) put(r *http.Request) (any, error) {
	query := r.URL.Query()
	expect, err := number(query.Get("expect"))
	if err != nil {
		return nil, err
	}
	lease, err := number(query.Get("lease"))
	if err != nil {
		return nil, err
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, topo.MaxValueBytes+1))
	if err != nil {
		return nil, err
	}
	revision, err := p.store.Put(r.Context(), query.Get("key"), value, expect, topo.LeaseID(lease))
	return httptopo.Written{Revision: revision}, err
}

func (p *Platform) delete(r *http.Request) (any, error) {
	expect, err := number(r.URL.Query().Get("expect"))
	if err != nil {
		return nil, err
	}
	return struct{}{}, p.store.Delete(r.Context(), r.URL.Query().Get("key"), expect)
}

func (p *Platform) watch(r *http.Request) (any, error) {
	after, err := number(r.FormValue("after"))
	if err != nil {
		return nil, err
	}
	wait, err := time.ParseDuration(r.FormValue("wait"))
	if err != nil {
		return nil, err
	}
	entries, revision, err := p.store.Watch(r.Context(), r.FormValue("prefix"), after, wait)
	return httptopo.Watched{Entries: entries, Revision: revision}, err
}

func (p *Platform) grant(r *http.Request) (any, error) {
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil || ttl <= 0 {
		return nil, errors.New("ttl must be a positive duration")
	}
	id, err := p.store.Grant(r.Context(), ttl)
	return httptopo.Granted{Lease: id}, err
}

func (p *Platform) keepAlive(r *http.Request) (any, error) {
	id, err := number(r.URL.Query().Get("lease"))
	if err != nil {
		return nil, err
	}
	return struct{}{}, p.store.KeepAlive(r.Context(), topo.LeaseID(id))
}

func (p *Platform) revoke(r *http.Request) (any, error) {
	id, err := number(r.URL.Query().Get("lease"))
	if err != nil {
		return nil, err
	}
	return struct{}{}, p.store.Revoke(r.Context(), topo.LeaseID(id))
}

func (p *Platform) instances(w http.ResponseWriter, r *http.Request) {
	list, err := p.directory.Instances(r.Context())
	reply(w, list, err)
}

func number(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseInt(text, 10, 64)
}
