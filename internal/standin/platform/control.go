package platform

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	wire "rhubarbpoint/platform"
)

// maxControlBytes bounds the body of a call to the control API.
const maxControlBytes = 1 << 20

// ControlFaults are the faults injected into calls of the control API.
type ControlFaults struct {
	// Hang leaves each call without an answer until the client gives up. The call is not executed.
	Hang bool `json:"hang,omitempty"`
	// LoseResponse executes each call and gives no answer.
	LoseResponse bool `json:"lose_answer,omitempty"`
	// Status, if it is not 0, answers each call with that status. The call is not executed.
	Status int `json:"status,omitempty"`
	// ReclaimedZones are the zones in which no preemptible replicas are available: orders for more than none get 409.
	ReclaimedZones []string `json:"reclaimed_zones,omitempty"`
}

// Control is a stand-in for the platform's control API. It records every call and checks what the platform requires of
// the holders. It is safe for concurrent use.
type Control struct {
	limiter *rate.Limiter

	mu     sync.Mutex
	faults ControlFaults
	calls  []ControlCall
}

// NewControl returns a control API that accepts perSecond calls a second, with a burst of one second; 0 means 50.
func NewControl(perSecond int) *Control {
	if perSecond == 0 {
		perSecond = 50
	}
	return &Control{limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

// SetFaults replaces the injected faults.
func (c *Control) SetFaults(faults ControlFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = faults
}

// Calls returns the calls so far in the order of their arrival.
func (c *Control) Calls() []ControlCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.calls)
}

// Violations returns the violations of the platform's requirements so far.
func (c *Control) Violations() []string { return Violations(c.Calls()) }

// ServeHTTP implements http.Handler for the paths of the control API.
func (c *Control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxControlBytes))
	fence, fenceErr := strconv.ParseInt(r.Header.Get(wire.HeaderFence), 10, 64)
	call := ControlCall{Holder: r.Header.Get(wire.HeaderHolder), Fence: fence}
	if err != nil || fenceErr != nil || call.Holder == "" || r.Method != http.MethodPost || !call.decode(r.URL.Path, body) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, hang := c.Receive(call)
	switch {
	case hang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case status == 0:
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// Receive records a call that arrives now. It returns the status of its answer, or 0 if it gets none, and whether its
// connection stays open then. Tests in virtual time use it in place of HTTP.
func (c *Control) Receive(call ControlCall) (status int, hang bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.faults
	call.At, call.Status = time.Now(), http.StatusOK
	switch {
	case !c.limiter.Allow():
		call.Status = http.StatusTooManyRequests
	case f.Hang:
		call.Status = 0
	case f.Status != 0:
		call.Status = f.Status
	case call.Scale != nil && call.Scale.Preemptible && call.Scale.Desired > 0 && slices.Contains(f.ReclaimedZones, call.Scale.Zone):
		call.Status = http.StatusConflict
	default:
		call.Executed = true
		if f.LoseResponse {
			call.Status = 0
		}
	}
	c.calls = append(c.calls, call)
	return call.Status, call.Status == 0 && f.Hang
}
