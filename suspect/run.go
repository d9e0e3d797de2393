package suspect

import "time"

// Attempt is one attempt at a request on one engine. Its fields are guarded by the table's mutex.
type Attempt struct {
	table       *Table
	fingerprint Fingerprint
	engine      string
	epoch       uint64 // hash of the engine's start epoch, 0 if unknown
	judged      bool
	ended       bool
}

// SetEpoch notes the hash of the engine's start epoch, so that a crash is not blamed on attempts that began after the
// restart.
func (r *Attempt) SetEpoch(epoch uint64) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.epoch = epoch
}

// Epoch returns the hash of the engine's start epoch, 0 if unknown.
func (r *Attempt) Epoch() uint64 {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.epoch
}

// RecordSuccess says that the request got its whole answer, which clears it. End must still be called.
func (r *Attempt) RecordSuccess(now time.Time) { r.table.finished(now, r) }

// RecordCrash says that the engine has crashed under this attempt. End must still be called.
func (r *Attempt) RecordCrash(now time.Time) { r.table.crashed(now, r) }

// End says that the attempt no longer runs. Further calls do nothing.
func (r *Attempt) End(now time.Time) { r.table.end(now, r) }
