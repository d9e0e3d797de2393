package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"rhubarbpoint/engine"
	"rhubarbpoint/role"
)

var epoch = time.Unix(1_700_000_000, 0)

// fakeRegion is a region whose engines, planner and authority the test controls. It implements Applier and Planner.
type fakeRegion struct {
	view         View
	change       *role.Change
	held         bool
	applyErr     error
	orders       []*engine.Order
	excluded     map[string]bool
	changesEnded int
}

func (f *fakeRegion) Apply(_ context.Context, _ string, order *engine.Order) error {
	f.orders = append(f.orders, order)
	return f.applyErr
}
func (f *fakeRegion) HoldsAuthority() bool { return f.held }
func (f *fakeRegion) Plan(*role.Input) *role.Change {
	c := f.change
	f.change = nil
	return c
}
func (f *fakeRegion) ChangeEnded(time.Time, time.Duration) { f.changesEnded++ }

func newFakeRegion(roles ...engine.Role) (*fakeRegion, *Controller) {
	f := &fakeRegion{held: true, excluded: map[string]bool{}}
	for i, r := range roles {
		f.view.Engines = append(f.view.Engines, Engine{
			Engine:   role.Engine{ID: fmt.Sprint(i), Role: r, Usable: true, Running: 3},
			Reported: epoch, Models: []string{"m@1"}, Want: []string{"m@1"},
		})
	}
	id := 0
	c := New(Options{
		Applier: f, Planner: f, View: func(time.Time) View { return f.view },
		Exclude: func(_ time.Time, engine string, until time.Time) {
			f.excluded[engine] = !until.IsZero()
			for i := range f.view.Engines {
				if f.view.Engines[i].ID == engine {
					f.view.Engines[i].Usable = until.IsZero()
				}
			}
		},
		NewID:        func() string { id++; return fmt.Sprint(id) },
		Automatic:    func() bool { return true },
		ChangeTime:   func() time.Duration { return 5 * time.Second },
		DrainTimeout: func() time.Duration { return 120 * time.Second },
		Adapters:     func(string) []string { return []string{"a"} },
	})
	return f, c
}

// stepAt makes all engines report at the given second and runs a step of the controller at that time.
func (f *fakeRegion) stepAt(c *Controller, second int) {
	now := epoch.Add(time.Duration(second) * time.Second)
	for i := range f.view.Engines {
		f.view.Engines[i].Reported = now
	}
	c.Step(context.Background(), now)
}

// setEmpty lets an engine report that it is empty.
func (f *fakeRegion) setEmpty(i int) {
	f.view.Engines[i].Running, f.view.Engines[i].Empty = 0, true
}

// Guards against an order to an engine that still runs requests or gets new ones.
func TestDrainsBeforeOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	f, c := newFakeRegion(engine.RolePrefill, engine.RoleDecode, engine.RoleDecode)
	f.change = &role.Change{EngineID: "1", From: engine.RoleDecode, To: engine.RolePrefill}
	f.stepAt(c, 1)
	g.Expect(f.excluded).To(gomega.Equal(map[string]bool{"1": true}))
	f.stepAt(c, 10)
	g.Expect(f.orders).To(gomega.BeEmpty())
	f.setEmpty(1)
	f.stepAt(c, 11)
	g.Expect(f.orders).To(gomega.HaveLen(1))
	g.Expect(f.orders[0].Role).To(gomega.Equal(engine.RolePrefill))
	f.stepAt(c, 12)
	g.Expect(f.excluded["1"]).To(gomega.BeTrue())
	f.view.Engines[1].Role = engine.RolePrefill
	f.stepAt(c, 17)
	g.Expect(f.excluded["1"]).To(gomega.BeFalse())
	g.Expect(f.changesEnded).To(gomega.Equal(1))
	g.Expect(f.orders).To(gomega.HaveLen(1))
}

// Guards against an order on the first empty report, when other instances may still send requests to the engine.
func TestWaitsForExclusionToPropagate(t *testing.T) {
	g := gomega.NewWithT(t)
	f, c := newFakeRegion(engine.RolePrefill, engine.RoleDecode, engine.RoleDecode)
	f.setEmpty(1)
	f.change = &role.Change{EngineID: "1", From: engine.RoleDecode, To: engine.RolePrefill}
	f.stepAt(c, 1)
	f.stepAt(c, 2)
	g.Expect(f.orders).To(gomega.BeEmpty())
	f.stepAt(c, 3)
	g.Expect(f.orders).To(gomega.HaveLen(1))
}

// Guards against orders without the authority, and against an engine that a former holder keeps excluded.
func TestLostAuthorityEndsChange(t *testing.T) {
	g := gomega.NewWithT(t)
	f, c := newFakeRegion(engine.RolePrefill, engine.RoleDecode, engine.RoleDecode)
	f.change = &role.Change{EngineID: "1", From: engine.RoleDecode, To: engine.RolePrefill}
	f.stepAt(c, 1)
	f.held = false
	f.setEmpty(1)
	f.stepAt(c, 5)
	f.stepAt(c, 6)
	g.Expect(f.orders).To(gomega.BeEmpty())
	g.Expect(f.excluded["1"]).To(gomega.BeFalse())
}

// Guards against an engine that stays excluded after its change failed because of an order or because it did not become
// empty.
func TestFailedChangeReturnsEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	f, c := newFakeRegion(engine.RolePrefill, engine.RoleDecode, engine.RoleDecode)
	f.applyErr = errors.New("gate unreachable")
	f.setEmpty(1)
	f.change = &role.Change{EngineID: "1", From: engine.RoleDecode, To: engine.RolePrefill}
	f.stepAt(c, 1)
	f.stepAt(c, 4)
	g.Expect(f.excluded["1"]).To(gomega.BeFalse())
	f.change = &role.Change{EngineID: "2", From: engine.RoleDecode, To: engine.RolePrefill}
	f.stepAt(c, 5)
	f.stepAt(c, 126)
	g.Expect(f.excluded["2"]).To(gomega.BeFalse())
}

// Guards against a version change that takes two engines out of service at once, or that skips an engine, for example
// the last one of its role.
func TestVersionChangeOneEngineAtATime(t *testing.T) {
	g := gomega.NewWithT(t)
	f, c := newFakeRegion(engine.RolePrefill, engine.RoleDecode, engine.RoleDecode)
	for i := range f.view.Engines {
		f.view.Engines[i].Want = []string{"m@2"}
		f.setEmpty(i)
	}
	for second := 1; second < 60; second++ {
		f.stepAt(c, second)
		outOfService := 0
		for i := range f.view.Engines {
			if f.excluded[f.view.Engines[i].ID] {
				outOfService++
			}
		}
		g.Expect(outOfService).To(gomega.BeNumerically("<=", 1))
		if n := len(f.orders); n > 0 && n%3 == 0 { // load, adapter, unload
			for i := range f.view.Engines {
				if f.excluded[f.view.Engines[i].ID] {
					f.view.Engines[i].Models = []string{"m@2"}
				}
			}
		}
	}
	for i := range f.view.Engines {
		g.Expect(f.view.Engines[i].Models).To(gomega.Equal([]string{"m@2"}))
	}
	g.Expect(f.orders).To(gomega.HaveLen(9))
	kinds := []engine.OrderKind{f.orders[0].Kind, f.orders[1].Kind, f.orders[2].Kind}
	g.Expect(kinds).To(gomega.Equal([]engine.OrderKind{engine.OrderLoadModel, engine.OrderLoadAdapter, engine.OrderUnload}))
}
