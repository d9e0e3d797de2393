// Package platform is a small stand-in for the platform: it serves topo/memtopo over HTTP, with rate limits, call
// counts and injected faults, in the wire format of the adapter in rhubarbpoint/platform.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	wire "rhubarbpoint/platform"
	"rhubarbpoint/topo"
	"rhubarbpoint/topo/httplist"
	"rhubarbpoint/topo/memtopo"
)

// pageItems is the number of items on one page of a list, and pageBytes the size of their values after which it ends.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

// Options configure the stand-in. Zero values select the defaults.
type Options struct {
	// WritesPerSecond is 500 by default, ReadsPerSecond 2,000. A burst of one second is allowed.
	WritesPerSecond int
	ReadsPerSecond  int
	// ControlPerSecond is the number of calls of the control API, 50 by default.
	ControlPerSecond int
	// ListLag is the time after which a change of the instance list becomes visible.
	ListLag time.Duration
	// Seed makes the choice of calls into which faults are injected repeatable.
	Seed uint64
}

// Platform serves the stand-in's HTTP interface. It is safe for concurrent use.
type Platform struct {
	store       *memtopo.Store
	directory   *memtopo.Directory
	faults      *faultInjector
	writes      *rate.Limiter
	reads       *rate.Limiter
	rateLimited *callCounts
	control     *Control

	mu   sync.Mutex // of copy
	copy memtopo.Copy
}

// New returns a stand-in with an empty store and an empty instance list.
func New(opts Options) *Platform {
	if opts.WritesPerSecond == 0 {
		opts.WritesPerSecond = 500
	}
	if opts.ReadsPerSecond == 0 {
		opts.ReadsPerSecond = 2000
	}
	faults := newFaultInjector(opts.Seed)
	store := memtopo.New(faults)
	return &Platform{
		store:       store,
		copy:        store.Copy(),
		directory:   memtopo.NewDirectory(opts.ListLag),
		faults:      faults,
		writes:      rate.NewLimiter(rate.Limit(opts.WritesPerSecond), opts.WritesPerSecond),
		reads:       rate.NewLimiter(rate.Limit(opts.ReadsPerSecond), opts.ReadsPerSecond),
		rateLimited: newCallCounts(),
		control:     NewControl(opts.ControlPerSecond),
	}
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathKey, p.limit(topo.OpGet, p.get))
	mux.HandleFunc("GET "+wire.PathRange, p.limit(topo.OpList, p.list))
	mux.HandleFunc("GET "+wire.PathWatch, p.limit(topo.OpWatch, p.watch))
	mux.HandleFunc("POST "+wire.PathTxn, p.limit(topo.OpPut, p.txn))
	mux.HandleFunc("POST "+wire.PathLease, p.limit(topo.OpGrant, p.grant))
	mux.HandleFunc("POST "+wire.PathKeepAlive+"{lease}", p.limit(topo.OpKeepAlive, p.keepAlive))
	mux.HandleFunc("DELETE "+wire.PathRevoke+"{lease}", p.limit(topo.OpRevoke, p.revoke))
	mux.HandleFunc("GET "+httplist.Path, p.instances)
	mux.Handle(wire.PathUsage, p.control)
	mux.Handle(wire.PathScale, p.control)
	p.handleAdmin(mux)
	return mux
}

// handler executes one call in an era of the store and returns the body of its response.
type handler func(r *http.Request, era int64) (any, error)

// limit applies the rate limit to a handler and writes its response. A watch that waits takes one token, as on the
// platform.
func (p *Platform) limit(op topo.Op, h handler) http.HandlerFunc {
	limiter := p.reads
	if op.Writes() {
		limiter = p.writes
	}
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderEra, strconv.FormatInt(max(1, p.store.Era()), 10))
		if !limiter.Allow() {
			p.rateLimited.add(op)
			reply(w, nil, topo.ErrRateLimited)
			return
		}
		if p.faults.hangs() {
			io.Copy(io.Discard, r.Body) // with an unread body, the server does not notice that the client disconnects
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		era := p.store.Era()
		response, err := h(r, era)
		if p.store.Era() != era {
			panic(http.ErrAbortHandler) // calls in flight are cut when the store is restored
		}
		reply(w, response, err)
	}
}

// reply writes a response. An ambiguous outcome reaches the client as a broken connection, as a lost response does.
func reply(w http.ResponseWriter, response any, err error) {
	if errors.Is(err, topo.ErrAmbiguous) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		w.WriteHeader(wire.StatusOf(err))
		response = struct{}{}
	}
	json.NewEncoder(w).Encode(response)
}

func (p *Platform) get(r *http.Request, _ int64) (any, error) {
	entry, err := p.store.Get(r.Context(), r.FormValue("key"))
	return item(entry), err
}

func (p *Platform) list(r *http.Request, _ int64) (any, error) {
	entries, revision, err := p.store.List(r.Context(), r.FormValue("prefix"))
	page := wire.Page{Items: []wire.Item{}, Revision: topo.Count(revision)}
	size := 0
	for _, entry := range entries {
		if entry.Key <= r.FormValue("after") {
			continue
		}
		if len(page.Items) == pageItems || size >= pageBytes {
			page.More = true
			break
		}
		page.Items = append(page.Items, item(entry))
		size += len(entry.Value)
	}
	return page, err
}

// txn executes a transaction on one key, the only kind that rhubarbpoint sends.
func (p *Platform) txn(r *http.Request, era int64) (any, error) {
	var body wire.Txn
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return nil, err
	}
	switch {
	case len(body.Conditions) == 1 && len(body.Puts) == 1 && len(body.Removes) == 0 && body.Conditions[0].Key == body.Puts[0].Key:
		put := body.Puts[0]
		revision, err := p.store.Put(r.Context(), put.Key, put.Value, expected(era, &body), topo.LeaseID(put.Lease))
		return wire.Written{Revision: topo.Count(revision)}, err
	case len(body.Conditions) == 1 && len(body.Puts) == 0 && len(body.Removes) == 1 && body.Conditions[0].Key == body.Removes[0]:
		err := p.store.Delete(r.Context(), body.Removes[0], expected(era, &body))
		if errors.Is(err, topo.ErrNotFound) {
			err = topo.ErrConflict
		}
		return wire.Written{}, err
	}
	return nil, errors.New("only transactions on one key are supported")
}

func (p *Platform) watch(r *http.Request, era int64) (any, error) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	if err != nil {
		return nil, err
	}
	wait, err := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	if err != nil {
		return nil, err
	}
	entries, revision, err := p.store.Watch(r.Context(), r.FormValue("prefix"), revisionOf(era, after), time.Duration(wait)*time.Millisecond)
	changes := wire.Changes{Events: []wire.Item{}, Revision: topo.Count(revision)}
	for _, entry := range entries {
		changes.Events = append(changes.Events, item(entry))
	}
	return changes, err
}

func (p *Platform) grant(r *http.Request, _ int64) (any, error) {
	var lease wire.Lease
	if err := json.NewDecoder(r.Body).Decode(&lease); err != nil {
		return nil, err
	}
	if lease.TTLMillis <= 0 {
		return nil, errors.Newf("time to live of a lease must be positive, got %d ms", lease.TTLMillis)
	}
	id, err := p.store.Grant(r.Context(), time.Duration(lease.TTLMillis)*time.Millisecond)
	return wire.Lease{ID: int64(id), TTLMillis: lease.TTLMillis}, err
}

func (p *Platform) keepAlive(r *http.Request, _ int64) (any, error) {
	id, err := strconv.ParseInt(r.PathValue("lease"), 10, 64)
	if err != nil {
		return nil, err
	}
	if err := p.store.KeepAlive(r.Context(), topo.LeaseID(id)); !errors.Is(err, topo.ErrRestored) {
		return struct{}{}, err
	}
	return struct{}{}, nil // the header tells
}

func (p *Platform) revoke(r *http.Request, _ int64) (any, error) {
	id, err := strconv.ParseInt(r.PathValue("lease"), 10, 64)
	if err != nil {
		return nil, err
	}
	return struct{}{}, p.store.Revoke(r.Context(), topo.LeaseID(id))
}

// revisionOf returns a revision that a client sent; 0 stands for none in any era.
func revisionOf(era, count int64) int64 {
	if count == 0 {
		return 0
	}
	return topo.Revision(era, count)
}

func expected(era int64, txn *wire.Txn) int64 { return revisionOf(era, txn.Conditions[0].Revision) }

// item converts an entry to the platform's wire format, which counts revisions within an era.
func item(e topo.Entry) wire.Item {
	return wire.Item{
		Key: e.Key, Value: e.Value, Revision: topo.Count(e.Revision), Created: topo.Count(e.Created),
		Lease: int64(e.Lease), Deleted: e.Value == nil,
	}
}

func (p *Platform) instances(w http.ResponseWriter, r *http.Request) {
	list, err := p.directory.Instances(r.Context())
	reply(w, list, err)
}
