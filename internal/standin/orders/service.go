// Package orders is a small stand-in for an HTTP service of orders and stock. It counts the executions of each booking,
// so that tests can check that none was executed twice.
package orders

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Service serves GET /stock/{item} (idempotent), POST /bookings (not idempotent), GET /executions and POST
// /admin/faults. It is safe for concurrent use.
type Service struct {
	id string

	mu         sync.Mutex
	executions map[string]int
	faults     Faults
}

// New returns a service replica.
func New(id string) *Service {
	return &Service{id: id, executions: make(map[string]int)}
}

// Handler returns the HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stock/{item}", s.stock)
	mux.HandleFunc("POST /bookings", s.book)
	mux.HandleFunc("GET /executions", s.listExecutions)
	mux.HandleFunc("POST /admin/faults", s.setFaults)
	return mux
}

// Executions returns the number of executions by idempotency key.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.executions))
	for key, n := range s.executions {
		counts[key] = n
	}
	return counts
}

func (s *Service) stock(w http.ResponseWriter, r *http.Request) {
	s.breakConnection(func(f *Faults) *int { return &f.BreakBefore })
	s.reply(w, http.StatusOK, map[string]any{"item": r.PathValue("item"), "available": 17, "replica": s.id})
}

func (s *Service) book(w http.ResponseWriter, r *http.Request) {
	s.breakConnection(func(f *Faults) *int { return &f.BreakBefore })
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	s.executions[key]++
	runs, delay := s.executions[key], time.Duration(s.faults.DelayMillis)*time.Millisecond
	s.mu.Unlock()
	time.Sleep(delay)
	s.breakConnection(func(f *Faults) *int { return &f.BreakAfter })
	s.reply(w, http.StatusCreated, map[string]any{"booked": key, "runs": runs, "replica": s.id})
}

// breakConnection breaks the connection without a response and decrements the counter, while that is positive.
func (s *Service) breakConnection(counter func(*Faults) *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if left := counter(&s.faults); *left > 0 {
		*left--
		panic(http.ErrAbortHandler)
	}
}

func (s *Service) listExecutions(w http.ResponseWriter, _ *http.Request) {
	s.reply(w, http.StatusOK, s.Executions())
}

func (s *Service) reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}
