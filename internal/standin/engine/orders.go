package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"rhubarbpoint/engine"
)

// order executes an order and responds once the change is finished. The change continues if the caller disconnects. It
// waits until the engine has no requests; meanwhile the engine accepts no new ones.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.ID == "" {
		http.Error(w, "bad order", http.StatusBadRequest)
		return
	}
	begun, status := e.beginOrder(&order)
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	if begun {
		done := make(chan struct{})
		go func() {
			defer close(done)
			e.applyOrder(&order)
		}()
		select {
		case <-done:
		case <-r.Context().Done():
			return
		}
	}
	json.NewEncoder(w).Encode(engine.OrderResult{OrderID: order.ID, Applied: true})
}

// beginOrder checks an order and marks the engine as changing. It returns false for an order that changes nothing: a
// fence order, or a repetition of the last order.
func (e *Engine) beginOrder(order *engine.Order) (begun bool, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &e.orders
	if e.opts.ChecksFence && order.Fence < s.fence {
		return false, http.StatusPreconditionFailed
	}
	s.fence = max(s.fence, order.Fence)
	switch {
	case order.Kind == engine.OrderFence, order.ID == s.lastOrder:
		return false, http.StatusOK
	case s.changing != "":
		return false, http.StatusConflict
	}
	s.changing = order.ID
	return true, http.StatusOK
}

func (e *Engine) applyOrder(order *engine.Order) {
	for e.busy() {
		time.Sleep(idlePoll)
	}
	time.Sleep(e.opts.ChangeTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders.apply(order)
	e.recordLoad()
}
