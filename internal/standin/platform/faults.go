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
	// OutageRefuse makes each call fail with "unavailable".
	OutageRefuse = "refuse"
	// OutageHang leaves each call without a response until the client gives up.
	OutageHang = "hang"
)

// Faults are the faults injected into calls of the store. Shares are probabilities from 0 to 1.
type Faults struct {
	// Outage is "", OutageRefuse or OutageHang. It ends after For; 0s means that it lasts until the faults are
	// replaced.
	Outage string          `json:"outage,omitempty"`
	For    config.Duration `json:"for,omitempty"`
	// Prefix limits the faults below to keys with this prefix.
	Prefix string `json:"prefix,omitempty"`
	// Delay is the time before each call is executed.
	Delay config.Duration `json:"delay,omitempty"`
	// LoseResponse is the share of writes that are executed but get no response.
	LoseResponse float64 `json:"lose_answer,omitempty"`
	// LateShare is the share of writes that get no response and are executed only after the time Late.
	LateShare float64         `json:"late_share,omitempty"`
	Late      config.Duration `json:"late,omitempty"`
}

// faultInjector injects the current faults into calls of the store. It is safe for concurrent use.
type faultInjector struct {
	mu      sync.Mutex
	current Faults
	until   time.Time // end of the outage; zero means none
	rand    *rand.Rand
}

func newFaultInjector(seed uint64) *faultInjector {
	return &faultInjector{rand: rand.New(rand.NewPCG(seed, 0))}
}

func (f *faultInjector) set(next Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current, f.until = next, time.Time{}
	if next.For > 0 {
		f.until = time.Now().Add(next.For.D())
	}
}

func (f *faultInjector) outage() string {
	if !f.until.IsZero() && time.Now().After(f.until) {
		return ""
	}
	return f.current.Outage
}

func (f *faultInjector) hangs() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage() == OutageHang
}

// Next implements memtopo.Faults.
func (f *faultInjector) Next(op topo.Op, key string) memtopo.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if op == topo.OpNone {
		return memtopo.Fault{}
	}
	if f.outage() != "" {
		return memtopo.Fault{Refuse: true}
	}
	if !strings.HasPrefix(key, f.current.Prefix) {
		return memtopo.Fault{}
	}
	fault := memtopo.Fault{Delay: f.current.Delay.D()}
	if !op.Writes() {
		return fault
	}
	switch chance := f.rand.Float64(); {
	case chance < f.current.LoseResponse:
		fault.LoseResponse = true
	case chance < f.current.LoseResponse+f.current.LateShare:
		fault.LoseResponse, fault.LateBy = true, f.current.Late.D()
	}
	return fault
}
