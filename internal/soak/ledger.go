package soak

import (
	"fmt"
	"sync"
	"time"

	"rhubarbpoint/platform"
)

// ledger notes what callers and replicas have seen, and what is wrong with it. It is safe for concurrent use.
type ledger struct {
	mu sync.Mutex
	// runs counts the executions of each request, answered those whose whole answer a replica has written.
	runs     map[string]int
	answered map[string]bool
	// refused are the requests whose callers were told that they had not run and that were not sent again.
	refused map[string]bool
	// handles are the requests whose prompts replicas have processed.
	handles map[string]string
	orders  []stageOrder
	served  map[string]int // by instance
	total   Counts
	wrong   []string
}

// Counts says what a soak has played.
type Counts struct {
	Sent, Served, Refused, Broken, Runs, Orders int
	Faults                                      map[string]int
}

// stageOrder is an order for a stage that reached a replica.
type stageOrder struct {
	at time.Time
	platform.Order
}

func newLedger() *ledger {
	return &ledger{
		runs: make(map[string]int), answered: make(map[string]bool), refused: make(map[string]bool), handles: make(map[string]string),
		served: make(map[string]int), total: Counts{Faults: make(map[string]int)},
	}
}

// violation notes something that must not happen.
func (l *ledger) violation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wrong = append(l.wrong, fmt.Sprintf(format, args...))
}

// run counts the start of a request at a replica. Requests that may run once must not run again.
func (l *ledger) run(id string, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	l.total.Runs++
	if once && l.runs[id] > 1 {
		l.wrong = append(l.wrong, fmt.Sprintf("at most once: %s ran %d times", id, l.runs[id]))
	}
	if l.refused[id] {
		l.wrong = append(l.wrong, fmt.Sprintf("true refusals: %s ran after its caller was told that it had not", id))
	}
}

func (l *ledger) answer(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered[id] = true
}

// refuse notes that a caller was told that its request has not run. final requests are not sent again.
func (l *ledger) refuse(id string, final bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total.Refused++
	if l.runs[id] > 0 {
		l.wrong = append(l.wrong, fmt.Sprintf("true refusals: %s had run %d times", id, l.runs[id]))
	}
	if final {
		l.refused[id] = true
	}
}

func (l *ledger) serve(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total.Served++
	l.served[instance]++
}

func (l *ledger) servedBy(instance string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.served[instance]
}

func (l *ledger) wasAnswered(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered[id]
}

func (l *ledger) count(what *int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*what++
}

func (l *ledger) order(o *platform.Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders = append(l.orders, stageOrder{time.Now(), *o})
	l.total.Orders++
}

// lastHolder returns the instance that gave the last order, or "".
func (l *ledger) lastHolder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.orders) == 0 {
		return ""
	}
	return l.orders[len(l.orders)-1].By.Holder
}

// betweenHolders is the least time between the orders of two holders, which the users' platform sets.
const betweenHolders = 3 * time.Second

// checkHolders looks at the orders of all holders. thawed says whether an instance was paused until shortly before.
func (l *ledger) checkHolders(thawed func(instance string, at time.Time) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var before *stageOrder
	for i := range l.orders {
		o := &l.orders[i]
		if thawed(o.By.Holder, o.at) {
			continue
		}
		if before != nil && before.By != o.By {
			if o.By.Fence <= before.By.Fence {
				l.wrong = append(l.wrong, fmt.Sprintf("one holder: fence %d of %s after %d of %s", o.By.Fence, o.By.Holder, before.By.Fence, before.By.Holder))
			}
			if gap := o.at.Sub(before.at); gap < betweenHolders {
				l.wrong = append(l.wrong, fmt.Sprintf("one holder: %s orders %v after %s", o.By.Holder, gap, before.By.Holder))
			}
		}
		before = o
	}
}

// handle notes that a replica has processed the prompt of a request, and returns a handle for it.
func (l *ledger) handle(request string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	handle := fmt.Sprintf("h%d", len(l.handles))
	l.handles[handle] = request
	return handle
}

// takeHandle takes a processed prompt, which can be done once. It notes a handle of another request.
func (l *ledger) takeHandle(handle, request string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	owner, found := l.handles[handle]
	if found && owner != "" && owner != request {
		l.wrong = append(l.wrong, fmt.Sprintf("own answers: %s goes on from the prompt of %s", request, owner))
	}
	l.handles[handle] = ""
	return owner != ""
}
