package suspect

import "time"

// Attempt is one attempt at a request on one engine. Its fields are guarded by the table's mutex.
type Attempt struct {
	table       *Table
	fingerprint Fingerprint
	engine      string
	epoch       uint64 // hash of the engine's start epoch, 0 if unknown
	attributed  bool   // whether a crash of the engine during this attempt has been attributed
	ended       bool
}

// SetEpoch records the hash of the engine's start epoch, so that a crash is not blamed on attempts that began after the
// restart.
func (a *Attempt) SetEpoch(epoch uint64) {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	a.epoch = epoch
}

// Epoch returns the hash of the engine's start epoch, 0 if unknown.
func (a *Attempt) Epoch() uint64 {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	return a.epoch
}

// RecordSuccess records that the request received its complete response, which clears it. End must still be called.
func (a *Attempt) RecordSuccess(now time.Time) { a.table.recordSuccess(now, a) }

// RecordCrash records that the engine crashed during this attempt. End must still be called.
func (a *Attempt) RecordCrash(now time.Time) { a.table.recordCrash(now, a) }

// End records that the attempt no longer runs. Further calls do nothing.
func (a *Attempt) End(now time.Time) { a.table.end(now, a) }
