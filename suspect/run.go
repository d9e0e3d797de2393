package suspect

import "time"

// Run is one attempt at a request on one engine. Its fields are guarded by the table's mutex.
type Run struct {
	table       *Table
	fingerprint Fingerprint
	engine      string
	epoch       uint64 // hash of the engine's start epoch, 0 if unknown
	attributed      bool
	ended       bool
}

// SetEpoch notes the hash of the engine's start epoch, so that a crash is not blamed on attempts that began after the
// restart.
func (r *Run) SetEpoch(epoch uint64) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.epoch = epoch
}

// Epoch returns the hash of the engine's start epoch, 0 if unknown.
func (r *Run) Epoch() uint64 {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.epoch
}

// Finished says that the request got its whole answer, which clears it. End must still be called.
func (r *Run) Finished(now time.Time) { r.table.recordSuccess(now, r) }

// Crashed says that the engine has crashed under this attempt. End must still be called.
func (r *Run) Crashed(now time.Time) { r.table.recordCrash(now, r) }

// End says that the attempt no longer runs. Further calls do nothing.
func (r *Run) End(now time.Time) { r.table.end(now, r) }
