package memtopo

import (
	"context"
	"sync"
	"time"

	"rhubarbpoint/topo"
)

// Directory is an instance list that shows each change only after a lag. It is safe for concurrent use.
type Directory struct {
	lag time.Duration

	mu      sync.Mutex
	shown   []topo.Instance
	pending []listVersion
	removed map[string]bool
	down    bool
}

type listVersion struct {
	at        time.Time
	instances []topo.Instance
}

var _ topo.Directory = (*Directory)(nil)

// NewDirectory returns an empty list with the given lag.
func NewDirectory(lag time.Duration) *Directory {
	return &Directory{lag: lag, removed: make(map[string]bool)}
}

// Set replaces the current list. Readers see the change after the lag.
func (d *Directory) Set(instances []topo.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.set(instances)
}

func (d *Directory) set(instances []topo.Instance) {
	d.pending = append(d.pending, listVersion{at: time.Now().Add(d.lag), instances: append([]topo.Instance{}, instances...)})
}

// SetDown makes reads fail with topo.ErrUnavailable, or lets them succeed again.
func (d *Directory) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
}

// Instances implements topo.Directory.
func (d *Directory) Instances(context.Context) ([]topo.Instance, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return nil, topo.ErrUnavailable
	}
	now := time.Now()
	for len(d.pending) > 0 && !now.Before(d.pending[0].at) {
		d.shown, d.pending = d.pending[0].instances, d.pending[1:]
	}
	return append([]topo.Instance{}, d.shown...), nil
}
