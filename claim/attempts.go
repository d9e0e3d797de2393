package claim

import (
	"container/list"
	"crypto/rand"
	"sync"
)

const (
	// maxRetainedBytes bounds the memory for finished and idle attempts. With 9 instances, 100 orders/s and responses of
	// 2 KB, it holds the attempts of the whole window of 10 minutes.
	maxRetainedBytes = 16 << 20
	// maxRetainedBody is the largest response body retained for duplicate requests. It also keeps a response below the
	// size limit of a peer call.
	maxRetainedBody = 256 << 10
	// attemptBytes is the estimated size of an attempt without the response body.
	attemptBytes = 400
)

// attempts is the table of this process's attempts by key. When idle and finished attempts take more than
// maxRetainedBytes, the oldest of them are evicted. It is safe for concurrent use.
type attempts struct {
	self  string
	stats *stats

	mu            sync.Mutex
	byKey         map[key]*attempt
	retained      *list.List // of *attempt in phaseIdle or phaseFinished, oldest first
	elements      map[key]*list.Element
	retainedBytes int
}

func newAttempts(self string, stats *stats) *attempts {
	return &attempts{
		self: self, stats: stats,
		byKey: make(map[key]*attempt), retained: list.New(), elements: make(map[key]*list.Element),
	}
}

// acquire returns the attempt at a key, and creates it if there is none. If acquired is true, the caller has to claim
// the key; otherwise changed is closed at the attempt's next change of phase.
func (t *attempts) acquire(id key, fingerprint Fingerprint) (a *attempt, acquired bool, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a = t.byKey[id]
	if a == nil {
		a = &attempt{key: id, fingerprint: fingerprint, owner: t.self, changed: make(chan struct{})}
		rand.Read(a.token[:])
		t.byKey[id] = a
	}
	if a.phase == phaseIdle && a.fingerprint == fingerprint {
		t.unretain(a)
		a.phase = phaseClaiming
		return a, true, nil
	}
	return a, false, a.changed
}

// result returns the result of an attempt and whether it has finished.
func (t *attempts) result(a *attempt) (resp *Response, err *Error, finished bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return a.response, a.err, a.phase == phaseFinished
}

// release makes an attempt idle whose claim was not confirmed. The attempt and its token are retained, since the record
// may be in the store.
func (t *attempts) release(a *attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setPhase(a, phaseIdle)
	t.retain(a)
}

// remove deletes an attempt whose claim record neither is in the store nor can still be written, or whose claim another
// process has ended.
func (t *attempts) remove(a *attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setPhase(a, phaseIdle)
	delete(t.byKey, a.key)
}

// markSending records that the claim is confirmed and that the calling request sends the order.
func (t *attempts) markSending(a *attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setPhase(a, phaseSending)
}

// finish sets the final result.
func (t *attempts) finish(a *attempt, resp *Response, err *Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.response, a.err = resp, err
	t.setPhase(a, phaseFinished)
	t.retain(a)
}

// lookupOrCancel returns the attempt with a key and token, or nil. A peer asks for it after it has read the attempt's
// record in the store. If the attempt is idle, it is finished as cancelled: its claim is in the store, and this process
// will not send the order any more.
func (t *attempts) lookupOrCancel(id key, token []byte) (a *attempt, cancelled bool, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a = t.byKey[id]
	if a == nil || string(a.token[:]) != string(token) {
		return nil, false, nil
	}
	if a.phase == phaseIdle {
		t.unretain(a)
		a.err = errNotRun(CodeCancelled, "the request ended before the order was sent")
		t.setPhase(a, phaseFinished)
		t.retain(a)
		return a, true, a.changed
	}
	return a, false, a.changed
}

func (t *attempts) setPhase(a *attempt, to phase) {
	a.phase = to
	close(a.changed)
	a.changed = make(chan struct{})
}

// retain adds an attempt to the retained ones and evicts the oldest while they exceed maxRetainedBytes.
func (t *attempts) retain(a *attempt) {
	if a.response != nil && len(a.response.Body) > maxRetainedBody {
		a = withoutBody(a)
		t.byKey[a.key] = a
	}
	t.elements[a.key] = t.retained.PushBack(a)
	t.retainedBytes += size(a)
	for t.retainedBytes > maxRetainedBytes {
		oldest := t.retained.Front().Value.(*attempt)
		t.unretain(oldest)
		delete(t.byKey, oldest.key)
		t.stats.evicted.Inc(1)
	}
}

// withoutBody returns the attempt to retain for a completed order whose response body is too large.
func withoutBody(a *attempt) *attempt {
	return &attempt{
		key: a.key, fingerprint: a.fingerprint, token: a.token, owner: a.owner,
		phase: phaseFinished, changed: make(chan struct{}), err: errAlreadyCompleted(),
	}
}

func (t *attempts) unretain(a *attempt) {
	if element := t.elements[a.key]; element != nil {
		t.retained.Remove(element)
		delete(t.elements, a.key)
		t.retainedBytes -= size(a)
	}
}

func size(a *attempt) int {
	if a.response == nil {
		return attemptBytes
	}
	return attemptBytes + len(a.response.Body)
}

// counts returns the number of attempts in progress, the number of retained attempts and the estimated bytes of these.
func (t *attempts) counts() (inProgress, retained, retainedBytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byKey) - t.retained.Len(), t.retained.Len(), t.retainedBytes
}
