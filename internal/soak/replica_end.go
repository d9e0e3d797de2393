package soak

import "time"

// crashInOrder ends the replica as the kernel does: it accepts no connections any more, and then the open ones end in order.
func (r *replica) crashInOrder() {
	r.link.CloseListener()
	r.conns.closeAll()
	time.Sleep(workTime)
	r.crash()
}

// restart ends the replica as crashInOrder does and starts it again under its ID and address at another version. Its new entry
// is written later. Since the address accepts connections again at once, the end of a response without length may pass for
// whole.
func (r *replica) restart(software string, renewal time.Duration) {
	r.link.CloseListener()
	r.mu.Lock()
	r.restarting = true
	for request := range r.open {
		r.cluster.recorder.recordBrokenOff(request, "by a restart", true)
	}
	r.mu.Unlock()
	r.conns.closeAll()
	r.mu.Lock()
	r.entry.Version, r.entry.Born, r.sequence, r.restarting = software, time.Now().UnixMilli(), 0, false
	r.mu.Unlock()
	time.Sleep(restartTime)
	r.conns.resume()
	for end := time.Now().Add(exitTime); ; time.Sleep(workTime) {
		err := r.link.Listen()
		if err == nil {
			break
		}
		if time.Now().After(end) {
			r.cluster.recorder.recordViolation("soak: replica %s does not listen again: %v", r.entry.ID, err)
			return
		}
	}
	time.Sleep(renewal)
	r.cluster.timeline.Info("entry renewed", "replica", r.entry.ID)
	r.writeEntry()
}
