package manager_test

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"rhubarbpoint/config"
	"rhubarbpoint/config/manager"
)

// submittedEdit is an edit that was submitted to an instance, and its outcome.
type submittedEdit struct {
	number     int
	edit       manager.Edit
	zone       string // of the zone that a network edit lists or an orders edit needs besides "a"
	minVersion int64  // a version that the store had reached before
	version    int64  // when accepted
	err        error
	unresolved bool // running or of unknown outcome
}

// observation is a document that an instance had in force.
type observation struct {
	instance string
	version  int64
	markers  map[string]string
}

// oracle checks all outcomes and observations against the guarantees, without knowledge of how these are implemented.
type oracle struct {
	mu           sync.Mutex
	edits        []*submittedEdit
	observations []observation
}

// markers returns, for each section, the marker of the edit that wrote it, read from the section's content.
func markers(doc *config.Document) map[string]string {
	m := make(map[string]string)
	if w := doc.Callers.Workspaces; len(w) > 0 {
		m["callers"] = w[0].Name
	}
	if s := doc.Orders.Services; len(s) > 0 {
		m["orders"] = s[0].Name
	}
	if r := doc.Network.Regions; len(r) > 0 {
		m["network"] = fmt.Sprint("e", doc.Network.MaxBodyBytes-2000)
	}
	return m
}

func (o *oracle) observe(instance string, doc *config.Document) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.observations = append(o.observations, observation{instance: instance, version: doc.Version, markers: markers(doc)})
}

func (o *oracle) add(s *submittedEdit) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s.number, s.unresolved = len(o.edits), true
	s.edit.Content = content(s.edit.Section, s.number, s.zone)
	o.edits = append(o.edits, s)
}

// content returns the content of a section with the edit's number as the marker.
func content(section string, number int, zone string) []byte {
	switch section {
	case "callers":
		return fmt.Appendf(nil, `{"workspaces":[{"name":"e%d","key_sha256":"%064x"}]}`, number, number)
	case "network":
		return fmt.Appendf(nil, `{"regions":[{"name":"r","zones":["a","%s"]}],"max_body_bytes":%d}`, zone, number+2000)
	}
	return fmt.Appendf(nil, `{"services":[{"name":"e%d","routes":[{"method":"GET","path":"/"}],
		"upstreams":[{"id":"u","address":"10.0.0.1:1","region":"r","zone":"%s"}]}]}`, number, zone)
}

func (s *submittedEdit) finish(o *oracle, result manager.Result, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s.version, s.err, s.unresolved = result.Version, err, errors.Is(err, manager.ErrOutcomeUnknown)
	s.edit.ID = result.ID
	var unknown *manager.OutcomeUnknownError
	if errors.As(err, &unknown) {
		s.edit.Since = unknown.Since
	}
}

// run submits the edit to an instance, with the ID of the earlier submission if its outcome was unknown.
func (s *submittedEdit) run(ctx context.Context, o *oracle, m *manager.Manager) {
	result, err := m.Edit(ctx, s.edit)
	s.finish(o, result, err)
}

// violations returns how the guarantees were violated, given the last version in the store.
func (o *oracle) violations(last int64) []string {
	var found []string
	fail := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	accepted := make(map[int64]*submittedEdit)
	for _, s := range o.edits {
		if s.unresolved {
			fail("edit %s has no outcome: %v", s.edit.ID, s.err)
		}
		if s.err != nil {
			continue
		}
		if other := accepted[s.version]; other != nil {
			fail("edits %s and %s were both accepted as version %d", s.edit.ID, other.edit.ID, s.version)
		}
		accepted[s.version] = s
	}
	// A version without an accepted edit was created by an edit that was reported as refused.
	for v := int64(1); v <= last; v++ {
		if accepted[v] == nil {
			fail("no accepted edit made version %d", v)
		}
	}
	if int64(len(accepted)) != last {
		fail("%d edits were accepted, the last version is %d", len(accepted), last)
	}
	if len(found) > 0 {
		return found
	}
	history := o.replay(accepted, last, fail)
	o.checkRefusals(history, last, fail)
	o.checkObservations(history, last, fail)
	return found
}

// sectionState holds, by section, the last edit of the section at one version.
type sectionState map[string]*submittedEdit

// replay returns the state of the sections at each version, from 0 to last.
func (o *oracle) replay(accepted map[int64]*submittedEdit, last int64, fail func(string, ...any)) []sectionState {
	history := []sectionState{{}}
	for v := int64(1); v <= last; v++ {
		next := sectionState{}
		for section, s := range history[v-1] {
			next[section] = s
		}
		s := accepted[v]
		if before := next[s.edit.Section]; before != nil && before.version > s.edit.Base {
			fail("version %d replaced version %d of section %s from base %d", v, before.version, s.edit.Section, s.edit.Base)
		}
		next[s.edit.Section] = s
		if !next.valid() {
			fail("version %d is invalid as a whole", v)
		}
		history = append(history, next)
	}
	return history
}

// valid reports whether the network section lists the zone that the orders section refers to.
func (st sectionState) valid() bool {
	orders, network := st["orders"], st["network"]
	return orders == nil || network != nil && (orders.zone == "a" || orders.zone == network.zone)
}

// checkRefusals requires that each refusal is justified at one of the versions against which the edit may have been
// checked.
func (o *oracle) checkRefusals(history []sectionState, last int64, fail func(string, ...any)) {
	for _, s := range o.edits {
		justified := s.err == nil || errors.Is(s.err, manager.ErrUnavailable)
		var conflict *manager.ConflictError
		if errors.As(s.err, &conflict) && conflict.Current <= last {
			before := history[conflict.Current][s.edit.Section]
			justified = before != nil && before.version == conflict.Changed && conflict.Changed > s.edit.Base
		}
		for v := s.minVersion; v <= last && errors.Is(s.err, config.ErrInvalid); v++ {
			with := sectionState{"orders": history[v]["orders"], "network": history[v]["network"]}
			with[s.edit.Section] = s
			justified = justified || !with.valid()
		}
		if !justified {
			fail("edit %s of %s from base %d was refused without a reason: %v", s.edit.ID, s.edit.Section, s.edit.Base, s.err)
		}
	}
}

// checkObservations compares the documents that each instance had in force with the accepted edits.
func (o *oracle) checkObservations(history []sectionState, last int64, fail func(string, ...any)) {
	highest := make(map[string]int64)
	for _, seen := range o.observations {
		if seen.version < highest[seen.instance] {
			fail("%s went back from version %d to %d", seen.instance, highest[seen.instance], seen.version)
		}
		highest[seen.instance] = seen.version
		if seen.version > last {
			fail("%s had version %d, the last one is %d", seen.instance, seen.version, last)
			continue
		}
		for _, section := range []string{"callers", "network", "orders"} {
			want := ""
			if s := history[seen.version][section]; s != nil {
				want = fmt.Sprint("e", s.number)
			}
			if got := seen.markers[section]; got != want {
				fail("%s had section %s of %q at version %d, want %q", seen.instance, section, got, seen.version, want)
			}
		}
	}
}
