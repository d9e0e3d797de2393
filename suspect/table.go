// Package suspect finds requests that crash engines and bounds the harm: a suspect of two crashes runs apart from other
// suspects, so that a further crash tells which one is the cause, and is refused after that.
package suspect

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"rhubarbpoint/peer/peerpb"
)

const (
	// maxCrashes is the number of engines that one request may crash.
	maxCrashes = 3
	// aloneAfter is the number of crashes after which a suspect runs without other suspects beside it. One crash says
	// little, since most engines that die do so without a request's fault: with all 20 streams of a dead engine running
	// alone, one after another, a fleet of two engines missed their deadlines. Two crashes are enough to tell, because
	// an innocent request that then runs alone finishes.
	aloneAfter = 2
	// refuseFor is how long a request is refused after its last crash, and how long a suspicion lasts.
	refuseFor = 10 * time.Minute
	// maxRecords bounds memory; the record with the oldest change is dropped first.
	maxRecords = 10_000
	// remoteRunFor is how long another instance's statement that a suspect runs somewhere is believed without news.
	// It equals the default longest deadline of a request.
	remoteRunFor = 2 * time.Minute
	// crashNoticeSpan is how much later than another instance this one may notice the same crash.
	crashNoticeSpan = 10 * time.Second
)

// Options configure a table.
type Options struct {
	// Self is the ID of this process.
	Self string
	// Publish sends a record to all peers. It is called without a lock held and must not block.
	Publish func(*peerpb.Suspicion)
	Logger  *slog.Logger
}

// Table holds the suspects known to this instance and its running requests. It is safe for concurrent use.
type Table struct {
	opts Options

	mu      sync.Mutex
	seq     uint64
	records map[Fingerprint]*record
	runs    map[string]map[*Attempt]bool
	// crashedBy holds until when a crash of an engine is put down to a suspect that another instance ran there.
	crashedBy map[string]time.Time
	changed   chan struct{}
}

// New returns an empty table.
func New(opts Options) *Table {
	return &Table{
		opts: opts, records: make(map[Fingerprint]*record), runs: make(map[string]map[*Attempt]bool),
		crashedBy: make(map[string]time.Time), changed: make(chan struct{}),
	}
}

// Changed returns a channel that is closed at the next change that could let a waiting suspect run.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Check returns the engines that the request must avoid, none if it is no suspect. It returns ErrRefused, or ErrWait
// while another copy of the suspect is running.
func (t *Table) Check(now time.Time, f Fingerprint) (avoid map[string]bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.check(now, f)
}

func (t *Table) check(now time.Time, f Fingerprint) (map[string]bool, error) {
	crashes := t.crashes(now, f)
	if crashes >= maxCrashes {
		return nil, ErrRefused
	}
	if crashes == 0 {
		return nil, nil
	}
	avoid := make(map[string]bool)
	wait := false
	t.eachSuspectRun(now, func(other Fingerprint, engine string) {
		if crashes >= aloneAfter || t.crashes(now, other) >= aloneAfter {
			avoid[engine] = true
		}
		wait = wait || other == f
	})
	if wait {
		return nil, ErrWait
	}
	return avoid, nil
}

// eachSuspectRun calls visit for each engine on which a suspect is known to run.
func (t *Table) eachSuspectRun(now time.Time, visit func(f Fingerprint, engine string)) {
	for engine, runs := range t.runs {
		for run := range runs {
			if t.crashes(now, run.fingerprint) > 0 {
				visit(run.fingerprint, engine)
			}
		}
	}
	for f, rec := range t.records {
		if t.crashes(now, f) == 0 {
			continue
		}
		for name, o := range rec.origins {
			if name != t.opts.Self && o.engine != "" && now.UnixMilli() < o.at+remoteRunFor.Milliseconds() {
				visit(f, o.engine)
			}
		}
	}
}

// Begin registers an attempt. It returns ErrRefused, or ErrWait when the engine was taken by another suspect since
// Check.
func (t *Table) Begin(now time.Time, engine string, f Fingerprint) (*Attempt, error) {
	t.mu.Lock()
	avoid, err := t.check(now, f)
	if err == nil && avoid[engine] {
		err = ErrWait
	}
	if err != nil {
		t.mu.Unlock()
		return nil, err
	}
	run := &Attempt{table: t, fingerprint: f, engine: engine}
	if t.runs[engine] == nil {
		t.runs[engine] = make(map[*Attempt]bool)
	}
	t.runs[engine][run] = true
	var out []*peerpb.Suspicion
	if t.crashes(now, f) > 0 {
		out = append(out, t.update(now, f, func(o *origin) { o.engine = engine }))
	}
	t.mu.Unlock()
	t.publish(out)
	return run, nil
}

func (t *Table) finished(now time.Time, r *Attempt) {
	t.mu.Lock()
	var out []*peerpb.Suspicion
	if t.crashes(now, r.fingerprint) > 0 {
		rec := t.records[r.fingerprint]
		rec.cleared = rec.stamp(now)
		s := t.update(now, r.fingerprint, func(o *origin) { *o = origin{seq: o.seq} })
		s.Cleared, s.AtUnixMilli = true, rec.cleared
		out = append(out, s)
	}
	t.mu.Unlock()
	if len(out) > 0 {
		eventCleared.Log(context.Background(), t.opts.Logger, slog.Any("fingerprint", r.fingerprint))
	}
	t.publish(out)
}

func (t *Table) end(now time.Time, r *Attempt) {
	t.mu.Lock()
	var out []*peerpb.Suspicion
	if !r.ended {
		r.ended = true
		delete(t.runs[r.engine], r)
		if len(t.runs[r.engine]) == 0 {
			delete(t.runs, r.engine)
		}
		if rec := t.records[r.fingerprint]; rec != nil && rec.origins[t.opts.Self].engine != "" {
			out = append(out, t.update(now, r.fingerprint, func(o *origin) { o.engine = "" }))
		}
		t.wake()
	}
	t.mu.Unlock()
	t.publish(out)
}

// crashes returns the number of crashes of a suspect, 0 for any other request. It drops an expired record.
func (t *Table) crashes(now time.Time, f Fingerprint) int {
	rec := t.records[f]
	if rec == nil {
		return 0
	}
	if rec.expired(now) {
		delete(t.records, f)
		return 0
	}
	return rec.crashes()
}

// update changes this instance's part of a record and returns it for the peers.
func (t *Table) update(now time.Time, f Fingerprint, change func(*origin)) *peerpb.Suspicion {
	rec := t.recordOf(f)
	own := rec.origins[t.opts.Self]
	if own.at <= rec.cleared {
		own.crashes = 0
	}
	change(&own)
	t.seq++
	own.seq, own.at = t.seq, rec.stamp(now)
	rec.origins[t.opts.Self] = own
	return suspicion(f, t.opts.Self, own)
}

func (t *Table) recordOf(f Fingerprint) *record {
	rec := t.records[f]
	if rec == nil {
		t.makeRoom()
		rec = &record{origins: make(map[string]origin)}
		t.records[f] = rec
	}
	return rec
}

func (t *Table) makeRoom() {
	if len(t.records) < maxRecords {
		return
	}
	var oldest Fingerprint
	var found *record
	for f, rec := range t.records {
		if found == nil || rec.at < found.at {
			oldest, found = f, rec
		}
	}
	delete(t.records, oldest)
}

func (t *Table) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *Table) publish(records []*peerpb.Suspicion) {
	if t.opts.Publish == nil {
		return
	}
	for _, s := range records {
		t.opts.Publish(s)
	}
}

func suspicion(f Fingerprint, self string, o origin) *peerpb.Suspicion {
	return &peerpb.Suspicion{
		Fingerprint: f[:], Crashes: o.crashes, AtUnixMilli: o.at, Origin: self, Seq: o.seq, Engine: o.engine,
	}
}
