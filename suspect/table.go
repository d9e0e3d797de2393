// Package suspect finds requests that crash engines and bounds the number of crashes. A suspect of two crashes runs on
// an engine without other suspects, so that a third crash identifies it as the cause. After that it is refused. For
// routed requests, the engines are the replicas of their service.
package suspect

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"rhubarbpoint/peer/peerpb"
)

const (
	// maxCrashes is the number of crashes after which a request is refused.
	maxCrashes = 3
	// isolateAfter is the number of crashes after which a suspect is isolated from other suspects. One crash is weak
	// evidence, because most engine crashes are not caused by a request: when all 20 streams of a crashed engine were
	// isolated and ran one after another, a fleet of two engines missed their deadlines. Two crashes are enough,
	// because an innocent request that is then isolated finishes.
	isolateAfter = 2
	// suspicionTTL is how long a suspicion lasts and a request is refused after its last crash.
	suspicionTTL = 10 * time.Minute
	// maxRecords bounds memory; the record with the oldest change is evicted first.
	maxRecords = 10_000
	// remoteAttemptTTL is how long the last report of another instance that a suspect runs on an engine remains valid.
	// It equals the default of the longest request deadline.
	remoteAttemptTTL = 2 * time.Minute
	// crashReportDelay bounds how much later than another instance this one may notice the same crash.
	crashReportDelay = 10 * time.Second
)

// Options configure a table.
type Options struct {
	// Self is the ID of this process.
	Self string
	// Publish sends a record to all peers. It is called without the table's lock and must not block.
	Publish func(*peerpb.Suspicion)
	Logger  *slog.Logger
}

// Table holds the suspects known to this instance and the attempts that this instance is running. It is safe for
// concurrent use.
type Table struct {
	opts Options

	mu       sync.Mutex
	seq      uint64
	records  map[Fingerprint]*record
	attempts map[string]map[*Attempt]bool // by engine
	// remoteCrashes holds, by engine, until when a crash is attributed to a suspect that another instance ran there.
	remoteCrashes map[string]time.Time
	// inherited holds the IDs of earlier processes of this instance whose records it shares.
	inherited map[string]bool
	changed   chan struct{}
}

// New returns an empty table.
func New(opts Options) *Table {
	return &Table{
		opts: opts, records: make(map[Fingerprint]*record), attempts: make(map[string]map[*Attempt]bool),
		remoteCrashes: make(map[string]time.Time), inherited: make(map[string]bool), changed: make(chan struct{}),
	}
}

// Changed returns a channel that is closed at the next change that may allow a waiting suspect to run.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Check returns the engines that the request must avoid; there are none if it is not a suspect. It returns ErrRefused
// after too many crashes, and ErrWait while another attempt at the same request is running.
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
	t.eachSuspectAttempt(now, func(other Fingerprint, engine string) {
		if crashes >= isolateAfter || t.crashes(now, other) >= isolateAfter {
			avoid[engine] = true
		}
		wait = wait || other == f
	})
	if wait {
		return nil, ErrWait
	}
	return avoid, nil
}

// eachSuspectAttempt calls visit for each suspect and engine on which this instance runs it or another instance is
// known to run it.
func (t *Table) eachSuspectAttempt(now time.Time, visit func(f Fingerprint, engine string)) {
	for engine, attempts := range t.attempts {
		for attempt := range attempts {
			if t.crashes(now, attempt.fingerprint) > 0 {
				visit(attempt.fingerprint, engine)
			}
		}
	}
	for f, rec := range t.records {
		if t.crashes(now, f) == 0 {
			continue
		}
		for name, o := range rec.origins {
			if name != t.opts.Self && o.engine != "" && now.UnixMilli() < o.at+remoteAttemptTTL.Milliseconds() {
				visit(f, o.engine)
			}
		}
	}
}

// Begin registers an attempt. It returns ErrRefused like Check. It returns ErrWait if another attempt at the same
// suspect is running, or if the request must now avoid the engine because another suspect has started there since
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
	attempt := &Attempt{table: t, fingerprint: f, engine: engine}
	if t.attempts[engine] == nil {
		t.attempts[engine] = make(map[*Attempt]bool)
	}
	t.attempts[engine][attempt] = true
	var updates []*peerpb.Suspicion
	if t.crashes(now, f) > 0 {
		updates = append(updates, t.update(now, f, func(o *origin) { o.engine = engine }))
	}
	t.mu.Unlock()
	t.publish(updates)
	return attempt, nil
}

func (t *Table) recordSuccess(now time.Time, a *Attempt) {
	t.mu.Lock()
	var updates []*peerpb.Suspicion
	if t.crashes(now, a.fingerprint) > 0 {
		rec := t.records[a.fingerprint]
		rec.cleared = rec.nextTimestamp(now)
		s := t.update(now, a.fingerprint, func(o *origin) { *o = origin{seq: o.seq} })
		s.Cleared, s.AtUnixMilli = true, rec.cleared
		updates = append(updates, s)
	}
	t.mu.Unlock()
	if len(updates) > 0 {
		eventCleared.Log(context.Background(), t.opts.Logger, slog.Any("fingerprint", a.fingerprint))
	}
	t.publish(updates)
}

func (t *Table) end(now time.Time, a *Attempt) {
	t.mu.Lock()
	var updates []*peerpb.Suspicion
	if !a.ended {
		a.ended = true
		delete(t.attempts[a.engine], a)
		if len(t.attempts[a.engine]) == 0 {
			delete(t.attempts, a.engine)
		}
		if rec := t.records[a.fingerprint]; rec != nil && rec.origins[t.opts.Self].engine != "" {
			updates = append(updates, t.update(now, a.fingerprint, func(o *origin) { o.engine = "" }))
		}
		t.notifyChanged()
	}
	t.mu.Unlock()
	t.publish(updates)
}

// crashes returns the number of crashes of a suspect, or 0 for any other request. It deletes an expired record.
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

// update changes this instance's entry in a record and returns it for publication to the peers.
func (t *Table) update(now time.Time, f Fingerprint, change func(*origin)) *peerpb.Suspicion {
	rec := t.recordFor(f)
	own := rec.origins[t.opts.Self]
	if own.at <= rec.cleared {
		own.crashes = 0
	}
	change(&own)
	t.seq++
	own.seq, own.at = t.seq, rec.nextTimestamp(now)
	rec.origins[t.opts.Self] = own
	return newSuspicion(f, t.opts.Self, own)
}

func (t *Table) recordFor(f Fingerprint) *record {
	rec := t.records[f]
	if rec == nil {
		t.evictIfFull()
		rec = &record{origins: make(map[string]origin)}
		t.records[f] = rec
	}
	return rec
}

func (t *Table) evictIfFull() {
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

func (t *Table) notifyChanged() {
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

func newSuspicion(f Fingerprint, self string, o origin) *peerpb.Suspicion {
	return &peerpb.Suspicion{
		Fingerprint: f[:], Crashes: o.crashes, AtUnixMilli: o.at, Origin: self, Seq: o.seq, Engine: o.engine,
	}
}
