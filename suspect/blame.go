package suspect

import (
	"context"
	"log/slog"
	"time"

	"rhubarbpoint/peer/peerpb"
)

// crashed judges all attempts that ran on the engine at once, so that the order in which they notice the crash does
// not matter. If one of them was a suspect already, only suspects are blamed.
func (t *Table) crashed(now time.Time, r *Attempt) {
	t.mu.Lock()
	var out []*peerpb.Suspicion
	if !r.judged {
		for f := range t.blamed(now, r) {
			out = append(out, t.update(now, f, func(o *origin) { o.crashes++ }))
		}
		t.wake()
	}
	t.mu.Unlock()
	for _, s := range out {
		eventBlamed.Log(context.Background(), t.opts.Logger, slog.Any("fingerprint", Fingerprint(s.Fingerprint)),
			slog.String("engine", r.engine), slog.Int("crashes", int(s.Crashes)))
	}
	t.publish(out)
}

// blamed marks the attempts of a crash as judged and returns the requests to blame.
func (t *Table) blamed(now time.Time, r *Attempt) map[Fingerprint]bool {
	suspects, others := make(map[Fingerprint]bool), make(map[Fingerprint]bool)
	for run := range t.runs[r.engine] {
		if run.judged || (run.epoch != 0 && r.epoch != 0 && run.epoch != r.epoch) {
			continue
		}
		run.judged = true
		if t.crashes(now, run.fingerprint) > 0 {
			suspects[run.fingerprint] = true
		} else {
			others[run.fingerprint] = true
		}
	}
	if len(suspects) > 0 || t.remoteSuspectOn(now, r.engine) {
		return suspects
	}
	return others
}

// remoteSuspectOn says whether another instance runs a suspect on the engine, or did so when the engine crashed.
func (t *Table) remoteSuspectOn(now time.Time, engine string) bool {
	if until, found := t.crashedBy[engine]; found {
		if now.Before(until) {
			return true
		}
		delete(t.crashedBy, engine)
	}
	running := false
	t.eachSuspectRun(now, func(_ Fingerprint, other string) { running = running || other == engine })
	return running
}
