package suspect

import (
	"context"
	"log/slog"
	"time"

	"rhubarbpoint/peer/peerpb"
)

// recordCrash attributes a crash to the attempts that ran on the engine. It handles all of them together, so that the
// order in which they notice the crash does not matter. If one of them was already a suspect, only suspects are blamed.
func (t *Table) recordCrash(now time.Time, a *Attempt) {
	t.mu.Lock()
	var updates []*peerpb.Suspicion
	if !a.attributed {
		for f := range t.attributeCrash(now, a) {
			updates = append(updates, t.update(now, f, func(o *origin) { o.crashes++ }))
		}
		t.notifyChanged()
	}
	t.mu.Unlock()
	for _, s := range updates {
		eventBlamed.Log(context.Background(), t.opts.Logger, slog.Any("fingerprint", Fingerprint(s.Fingerprint)),
			slog.String("engine", a.engine), slog.Int("crashes", int(s.Crashes)))
	}
	t.publish(updates)
}

// attributeCrash marks the attempts that the crash ended as attributed and returns the requests to blame.
func (t *Table) attributeCrash(now time.Time, a *Attempt) map[Fingerprint]bool {
	suspects, others := make(map[Fingerprint]bool), make(map[Fingerprint]bool)
	for attempt := range t.attempts[a.engine] {
		if attempt.attributed || (attempt.epoch != 0 && a.epoch != 0 && attempt.epoch != a.epoch) {
			continue
		}
		attempt.attributed = true
		if t.crashes(now, attempt.fingerprint) > 0 {
			suspects[attempt.fingerprint] = true
		} else {
			others[attempt.fingerprint] = true
		}
	}
	if len(suspects) > 0 || t.suspectRunsOn(now, a.engine) {
		return suspects
	}
	return others
}

// suspectRunsOn reports whether a suspect is known to run on the engine, or another instance has recently reported that
// the engine crashed while it ran a suspect there.
func (t *Table) suspectRunsOn(now time.Time, engine string) bool {
	if until, found := t.remoteCrashes[engine]; found {
		if now.Before(until) {
			return true
		}
		delete(t.remoteCrashes, engine)
	}
	running := false
	t.eachSuspectAttempt(now, func(_ Fingerprint, other string) { running = running || other == engine })
	return running
}
