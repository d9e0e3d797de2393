package demo

import (
	"fmt"
	"sync"
)

// Tally counts what became of the requests.
type Tally struct {
	Requests        int
	Complete        int
	Refused         int
	Cut             int
	Wrong           int
	DuplicateOrders int
}

// Failed says whether an answer was cut or wrong, or an order ran twice.
func (t Tally) Failed() bool { return t.Cut > 0 || t.Wrong > 0 || t.DuplicateOrders > 0 }

// Summary returns the demo's last line.
func (t Tally) Summary() string {
	return fmt.Sprintf("demo: requests=%d complete=%d cut=%d wrong=%d duplicate_orders=%d",
		t.Requests, t.Complete, t.Cut, t.Wrong, t.DuplicateOrders)
}

// result is what became of one request.
type result int

const (
	resultComplete result = iota
	resultRefused
	resultCut
	resultWrong
)

// counter is a Tally that many goroutines add to.
type counter struct {
	mu    sync.Mutex
	tally Tally
}

func (c *counter) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Requests++
}

func (c *counter) end(r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r {
	case resultComplete:
		c.tally.Complete++
	case resultRefused:
		c.tally.Refused++
	case resultCut:
		c.tally.Cut++
	case resultWrong:
		c.tally.Wrong++
	}
}

func (c *counter) snapshot() Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tally
}
