package demo

import (
	"fmt"
	"sync"
)

// Tally counts requests by result.
type Tally struct {
	Requests        int
	Complete        int
	Refused         int
	Cut             int
	Wrong           int
	DuplicateOrders int
}

// Failed reports whether a response was cut or wrong, or an order was executed more than once.
func (t Tally) Failed() bool { return t.Cut > 0 || t.Wrong > 0 || t.DuplicateOrders > 0 }

// Summary returns the last line of the demo's output.
func (t Tally) Summary() string {
	return fmt.Sprintf("demo: requests=%d complete=%d cut=%d wrong=%d duplicate_orders=%d",
		t.Requests, t.Complete, t.Cut, t.Wrong, t.DuplicateOrders)
}

// result is the result of one request.
type result int

const (
	resultComplete result = iota
	resultRefused
	resultCut
	resultWrong
)

// tallyCounter is a Tally that many goroutines add to.
type tallyCounter struct {
	mu    sync.Mutex
	tally Tally
}

func (c *tallyCounter) addRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Requests++
}

func (c *tallyCounter) addResult(r result) {
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

func (c *tallyCounter) snapshot() Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tally
}
