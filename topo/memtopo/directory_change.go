package memtopo

import (
	"slices"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/topo"
)

// Register adds an instance to the current list or replaces its row. It returns topo.ErrConflict for an ID that was
// removed, because the platform never shows the ID of an ended process again.
func (d *Directory) Register(instance topo.Instance) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.removed[instance.ID] {
		return errors.Wrapf(topo.ErrConflict, "instance %q was removed", instance.ID)
	}
	list := d.current()
	if i := find(list, instance.ID); i >= 0 {
		list[i] = instance
	} else {
		list = append(list, instance)
	}
	d.set(list)
	return nil
}

// MarkLeaving sets the leaving flag of an instance, or returns topo.ErrNotFound.
func (d *Directory) MarkLeaving(id string) error {
	return d.change(id, func(list []topo.Instance, i int) []topo.Instance {
		list[i].Leaving = true
		return list
	})
}

// Remove removes an instance from the current list, or returns topo.ErrNotFound.
func (d *Directory) Remove(id string) error {
	return d.change(id, func(list []topo.Instance, i int) []topo.Instance {
		d.removed[id] = true
		return slices.Delete(list, i, i+1)
	})
}

func (d *Directory) change(id string, apply func([]topo.Instance, int) []topo.Instance) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.current()
	i := find(list, id)
	if i < 0 {
		return errors.Wrapf(topo.ErrNotFound, "instance %q", id)
	}
	d.set(apply(list, i))
	return nil
}

// current returns a copy of the current list, which readers see after the lag.
func (d *Directory) current() []topo.Instance {
	if n := len(d.pending); n > 0 {
		return slices.Clone(d.pending[n-1].instances)
	}
	return slices.Clone(d.shown)
}

func find(list []topo.Instance, id string) int {
	return slices.IndexFunc(list, func(instance topo.Instance) bool { return instance.ID == id })
}
