package pipeline_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"rhubarbpoint/pipeline"
)

// script is an exchange whose attempts end with the given errors, one after another.
type script struct {
	placing, attempts []error
	sent              int
}

func (s *script) Place(context.Context) (int, error) {
	if len(s.placing) == 0 {
		return 0, nil
	}
	err := s.placing[0]
	s.placing = s.placing[1:]
	return 0, err
}

func (s *script) Attempt(context.Context, int) error {
	err := s.attempts[min(s.sent, len(s.attempts)-1)]
	s.sent++
	return err
}

// budget allows a number of further attempts.
type budget int

func (b *budget) Take() bool { *b--; return *b >= 0 }

func run(t *testing.T, req pipeline.Request, s *script, allowed int) (sends int, mayHaveRun bool, err error) {
	synctest.Test(t, func(t *testing.T) {
		b := budget(allowed)
		req.Budget = &b
		err = pipeline.Run(t.Context(), &req, s, func() {})
		sends, mayHaveRun = s.sent, req.MayHaveRun()
	})
	return sends, mayHaveRun, err
}

var (
	errBroken  = errors.New("broken")
	errNotRun  = errors.Mark(errors.New("refused"), pipeline.ErrNotRun)
	errNotSent = errors.Mark(errors.New("no connection"), pipeline.ErrNotSent)
	errNone    = errors.Mark(errors.New("none"), pipeline.ErrNoUpstream)
	errFinal   = errors.Mark(errors.Mark(errors.New("final"), pipeline.ErrNotRun), pipeline.ErrFinal)
)

// Guards against a request that runs twice although it must not, one that is given up although it may be repeated, and a
// wrong statement about whether it ran.
func TestWhatMayFollowAFailure(t *testing.T) {
	for _, c := range []struct {
		name    string
		req     pipeline.Request
		script  script
		budget  int
		sends   int
		ran     bool
		success bool
	}{
		{"once, broken", pipeline.Request{MaxRetries: 3}, script{attempts: []error{errBroken, nil}}, 9, 1, true, false},
		{"once, refused", pipeline.Request{MaxRetries: 3}, script{attempts: []error{errNotRun, nil}}, 9, 2, true, true},
		{"once, refused, broken", pipeline.Request{MaxRetries: 3}, script{attempts: []error{errNotRun, errBroken, nil}}, 9, 2, true, false},
		{"once, not sent", pipeline.Request{MaxRetries: 3}, script{attempts: []error{errNotSent, errNotSent, nil}}, 0, 3, true, true},
		{"once, always refused", pipeline.Request{MaxRetries: 3}, script{attempts: []error{errNotRun}}, 9, 4, false, false},
		{"repeatable, broken", pipeline.Request{Repeatable: true, MaxRetries: 3}, script{attempts: []error{errBroken, nil}}, 9, 2, true, true},
		{"most attempts", pipeline.Request{Repeatable: true, MaxAttempts: 2, MaxRetries: 3}, script{attempts: []error{errBroken}}, 9, 2, true, false},
		{"refusals are no attempts", pipeline.Request{MaxAttempts: 1, MaxRetries: 3}, script{attempts: []error{errNotRun, nil}}, 9, 2, true, true},
		{"budget", pipeline.Request{Repeatable: true, MaxRetries: 9}, script{attempts: []error{errBroken}}, 2, 3, true, false},
		{"final", pipeline.Request{Repeatable: true, MaxRetries: 9}, script{attempts: []error{errFinal, nil}}, 9, 1, false, false},
		{"no upstream, no patience", pipeline.Request{MaxRetries: 9}, script{placing: []error{errNone}, attempts: []error{nil}}, 9, 0, false, false},
		{"no upstream, patience", pipeline.Request{MaxRetries: 9, MaxPlacementWait: time.Second}, script{placing: []error{errNone}, attempts: []error{nil}}, 0, 1, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			sends, ran, err := run(t, c.req, &c.script, c.budget)
			g.Expect(sends).To(gomega.Equal(c.sends))
			g.Expect(ran).To(gomega.Equal(c.ran))
			g.Expect(err == nil).To(gomega.Equal(c.success))
		})
	}
}
