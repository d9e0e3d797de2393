package claim

import (
	"container/list"
	"crypto/rand"
	"sync"
)

const (
	// maxKeptBytes bounds the memory for finished and idle attempts; at 9 instances and 100 orders/s it holds the whole
	// window of 10 minutes with answers of 2 KB.
	maxKeptBytes = 16 << 20
	// maxKeptBody is the largest body kept for repeats. It also keeps an answer below the size of a peer call.
	maxKeptBody = 256 << 10
	// attemptBytes is the estimated size of an attempt without its body.
	attemptBytes = 400
)

// attempts holds this process's attempts by key. Those that nobody works on are dropped, oldest first, when they take
// more than maxKeptBytes. It is safe for concurrent use.
type attempts struct {
	self  string
	stats *stats

	mu    sync.Mutex
	byKey map[key]*attempt
	kept  *list.List // *attempt in phaseIdle or phaseFinished
	place map[key]*list.Element
	bytes int
}

func newAttempts(self string, stats *stats) *attempts {
	return &attempts{
		self: self, stats: stats,
		byKey: make(map[key]*attempt), kept: list.New(), place: make(map[key]*list.Element),
	}
}

// enter returns the attempt at a key, whether the caller has to claim it, and a channel that is closed at the next
// change otherwise.
func (t *attempts) enter(id key, fingerprint Fingerprint) (a *attempt, mine bool, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a = t.byKey[id]
	if a == nil {
		a = &attempt{key: id, fingerprint: fingerprint, owner: t.self, changed: make(chan struct{})}
		rand.Read(a.token[:])
		t.byKey[id] = a
	}
	if a.phase == phaseIdle && a.fingerprint == fingerprint {
		t.unkeep(a)
		a.phase = phaseClaiming
		return a, true, nil
	}
	return a, false, a.changed
}

// result returns the result of a finished attempt.
func (t *attempts) result(a *attempt) (answer *Response, err *Error, finished bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return a.answer, a.err, a.phase == phaseFinished
}

// leave ends the work on a claim that was not confirmed. The token is kept, since the record may stand in the store.
func (t *attempts) leave(a *attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.move(a, phaseIdle)
	t.keep(a)
}

// forget drops an attempt whose record cannot stand in the store, now or later.
func (t *attempts) forget(a *attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.move(a, phaseIdle)
	delete(t.byKey, a.key)
}

// sending says that the claim is confirmed and that this caller alone sends the order.
func (t *attempts) sending(a *attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.move(a, phaseSending)
}

// finish sets the result. It does not change again.
func (t *attempts) finish(a *attempt, answer *Response, err *Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.answer, a.err = answer, err
	t.move(a, phaseFinished)
	t.keep(a)
}

// standing returns the attempt that a peer asks about because it has seen its record in the store. An idle one is
// finished as cancelled: its claim stands, and from now on this process will not send the order.
func (t *attempts) standing(id key, token []byte) (a *attempt, cancelled bool, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a = t.byKey[id]
	if a == nil || string(a.token[:]) != string(token) {
		return nil, false, nil
	}
	if a.phase == phaseIdle {
		t.unkeep(a)
		a.err = errNotRun(CodeCancelled, "the request ended before the order was sent")
		t.move(a, phaseFinished)
		t.keep(a)
		return a, true, a.changed
	}
	return a, false, a.changed
}

func (t *attempts) move(a *attempt, to phase) {
	a.phase = to
	close(a.changed)
	a.changed = make(chan struct{})
}

func (t *attempts) keep(a *attempt) {
	if a.answer != nil && len(a.answer.Body) > maxKeptBody {
		a = withoutBody(a)
		t.byKey[a.key] = a
	}
	t.place[a.key] = t.kept.PushBack(a)
	t.bytes += size(a)
	for t.bytes > maxKeptBytes {
		oldest := t.kept.Front().Value.(*attempt)
		t.unkeep(oldest)
		delete(t.byKey, oldest.key)
		t.stats.evicted.Inc(1)
	}
}

// withoutBody returns what is kept of a completed order whose answer is too large.
func withoutBody(a *attempt) *attempt {
	return &attempt{
		key: a.key, fingerprint: a.fingerprint, token: a.token, owner: a.owner,
		phase: phaseFinished, changed: make(chan struct{}), err: errAlreadyCompleted(),
	}
}

func (t *attempts) unkeep(a *attempt) {
	if element := t.place[a.key]; element != nil {
		t.kept.Remove(element)
		delete(t.place, a.key)
		t.bytes -= size(a)
	}
}

func size(a *attempt) int {
	if a.answer == nil {
		return attemptBytes
	}
	return attemptBytes + len(a.answer.Body)
}

// counts returns the attempts in work and kept, and the bytes of those kept.
func (t *attempts) counts() (working, kept, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byKey) - t.kept.Len(), t.kept.Len(), t.bytes
}
