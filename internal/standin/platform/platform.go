// Package platform is a small stand-in for the platform: it serves topo/memtopo over HTTP, with rate limits, call counts
// and injected faults, in the wire format of the adapter in rhubarbpoint/platform.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	wire "rhubarbpoint/platform"
	"rhubarbpoint/topo"
	"rhubarbpoint/topo/httplist"
	"rhubarbpoint/topo/memtopo"
)

// pageItems is the number of items on one page of a list.
const pageItems = 500

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
	mux.HandleFunc("GET "+wire.PathKey, p.limit(topo.OpGet, p.get))
	mux.HandleFunc("GET "+wire.PathRange, p.limit(topo.OpList, p.list))
	mux.HandleFunc("GET "+wire.PathWatch, p.limit(topo.OpWatch, p.watch))
	mux.HandleFunc("POST "+wire.PathTxn, p.limit(topo.OpPut, p.change))
	mux.HandleFunc("POST "+wire.PathLease, p.limit(topo.OpGrant, p.grant))
	mux.HandleFunc("POST "+wire.PathKeepAlive+"{lease}", p.limit(topo.OpKeepAlive, p.keepAlive))
	mux.HandleFunc("DELETE "+wire.PathRevoke+"{lease}", p.limit(topo.OpRevoke, p.revoke))
	mux.HandleFunc("GET "+httplist.Path, p.instances)
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
		w.WriteHeader(wire.StatusOf(err))
		answer = struct{}{}
	}
	json.NewEncoder(w).Encode(answer)
}

func (p *Platform) get(r *http.Request) (any, error) {
	entry, err := p.store.Get(r.Context(), r.FormValue("key"))
	return item(entry), err
}

func (p *Platform) list(r *http.Request) (any, error) {
	entries, revision, err := p.store.List(r.Context(), r.FormValue("prefix"))
	page := wire.Page{Items: []wire.Item{}, Revision: revision}
	for _, entry := range entries {
		if entry.Key <= r.FormValue("after") {
			continue
		}
		if len(page.Items) == pageItems {
			page.More = true
			break
		}
		page.Items = append(page.Items, item(entry))
	}
	return page, err
}

// change executes a transaction of one key, which is all that rhubarbpoint sends.
func (p *Platform) change(r *http.Request) (any, error) {
	var txn wire.Txn
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		return nil, err
	}
	switch {
	case len(txn.Conditions) == 1 && len(txn.Puts) == 1 && len(txn.Removes) == 0 && txn.Conditions[0].Key == txn.Puts[0].Key:
		put := txn.Puts[0]
		revision, err := p.store.Put(r.Context(), put.Key, put.Value, txn.Conditions[0].Revision, topo.LeaseID(put.Lease))
		return wire.Written{Revision: revision}, err
	case len(txn.Conditions) == 1 && len(txn.Puts) == 0 && len(txn.Removes) == 1 && txn.Conditions[0].Key == txn.Removes[0]:
		err := p.store.Delete(r.Context(), txn.Removes[0], txn.Conditions[0].Revision)
		if errors.Is(err, topo.ErrNotFound) {
			err = topo.ErrConflict
		}
		return wire.Written{}, err
	}
	return nil, errors.New("only transactions of one key are served")
}

func (p *Platform) watch(r *http.Request) (any, error) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	if err != nil {
		return nil, err
	}
	wait, err := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	if err != nil {
		return nil, err
	}
	entries, revision, err := p.store.Watch(r.Context(), r.FormValue("prefix"), after, time.Duration(wait)*time.Millisecond)
	changes := wire.Changes{Events: []wire.Item{}, Revision: revision}
	for _, entry := range entries {
		changes.Events = append(changes.Events, item(entry))
	}
	return changes, err
}

func (p *Platform) grant(r *http.Request) (any, error) {
	var asked wire.Lease
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil {
		return nil, err
	}
	if asked.TTLMillis <= 0 {
		return nil, errors.New("a lease must have a positive time to live")
	}
	id, err := p.store.Grant(r.Context(), time.Duration(asked.TTLMillis)*time.Millisecond)
	return wire.Lease{ID: int64(id), TTLMillis: asked.TTLMillis}, err
}

func (p *Platform) keepAlive(r *http.Request) (any, error) {
	id, err := strconv.ParseInt(r.PathValue("lease"), 10, 64)
	if err != nil {
		return nil, err
	}
	return struct{}{}, p.store.KeepAlive(r.Context(), topo.LeaseID(id))
}

func (p *Platform) revoke(r *http.Request) (any, error) {
	id, err := strconv.ParseInt(r.PathValue("lease"), 10, 64)
	if err != nil {
		return nil, err
	}
	return struct{}{}, p.store.Revoke(r.Context(), topo.LeaseID(id))
}

// item returns an entry as the platform writes it.
func item(e topo.Entry) wire.Item {
	return wire.Item{
		Key: e.Key, Value: e.Value, Revision: e.Revision, Created: e.Created, Lease: int64(e.Lease), Deleted: e.Value == nil,
	}
}

func (p *Platform) instances(w http.ResponseWriter, r *http.Request) {
	list, err := p.directory.Instances(r.Context())
	reply(w, list, err)
}
