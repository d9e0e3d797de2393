package platform

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"rhubarbpoint/config"
	"rhubarbpoint/topo"
	"rhubarbpoint/topo/memtopo"
)

// Outages of the stand-in.
const (
	// OutageRefuse answers each call with "unavailable".
	OutageRefuse = "refuse"
	// OutageHang leaves each call without an answer until the client gives up.
	OutageHang = "hang"
)

// Faults says what happens to calls of the store. Shares are probabilities from 0 to 1.
type Faults struct {
	// Outage is "", OutageRefuse or OutageHang. For ends it after a time; 0s means until the next setting.
	Outage string          `json:"outage,omitempty"`
	For    config.Duration `json:"for,omitempty"`
	// Prefix limits the faults below to keys under it.
	Prefix string `json:"prefix,omitempty"`
	// Delay passes before each call is executed.
	Delay config.Duration `json:"delay,omitempty"`
	// LoseResponse is the share of writes that are executed without an answer.
	LoseResponse float64 `json:"lose_answer,omitempty"`
	// LateShare is the share of writes that get no answer and are executed Late after that.
	LateShare float64         `json:"late_share,omitempty"`
	Late      config.Duration `json:"late,omitempty"`
}

// faults injects the faults in force. It is safe for concurrent use.
type faults struct {
	mu    sync.Mutex
	now   Faults
	until time.Time // zero: no end of the outage
	rand  *rand.Rand
}

func newFaults(seed uint64) *faults { return &faults{rand: rand.New(rand.NewPCG(seed, 0))} }

func (f *faults) set(next Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now, f.until = next, time.Time{}
	if next.For > 0 {
		f.until = time.Now().Add(next.For.D())
	}
}

func (f *faults) outage() string {
	if !f.until.IsZero() && time.Now().After(f.until) {
		return ""
	}
	return f.now.Outage
}

func (f *faults) hangs() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage() == OutageHang
}

// Next implements memtopo.Faults.
func (f *faults) Next(op topo.Op, key string) memtopo.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if op == topo.OpNone {
		return memtopo.Fault{}
	}
	if f.outage() != "" {
		return memtopo.Fault{Refuse: true}
	}
	if !strings.HasPrefix(key, f.now.Prefix) {
		return memtopo.Fault{}
	}
	fault := memtopo.Fault{Delay: f.now.Delay.D()}
	if !op.Writes() {
		return fault
	}
	switch chance := f.rand.Float64(); {
	case chance < f.now.LoseResponse:
		fault.LoseResponse = true
	case chance < f.now.LoseResponse+f.now.LateShare:
		fault.LoseResponse, fault.LateBy = true, f.now.Late.D()
	}
	return fault
}
