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

// scriptedExecutor is an executor whose placements and attempts end with the given errors, in order. The last entry of
// attempts repeats.
type scriptedExecutor struct {
	placements, attempts []error
	sent                 int
}

func (e *scriptedExecutor) Place(context.Context) (int, error) {
	if len(e.placements) == 0 {
		return 0, nil
	}
	err := e.placements[0]
	e.placements = e.placements[1:]
	return 0, err
}

func (e *scriptedExecutor) Attempt(context.Context, int) error {
	err := e.attempts[min(e.sent, len(e.attempts)-1)]
	e.sent++
	return err
}

// budget allows the given number of retries.
type budget int

func (b *budget) Take() bool { *b--; return *b >= 0 }

func run(t *testing.T, req pipeline.Request, executor *scriptedExecutor, allowed int) (sends int, mayHaveRun bool, err error) {
	synctest.Test(t, func(t *testing.T) {
		b := budget(allowed)
		req.Budget = &b
		err = pipeline.Run(t.Context(), &req, executor, func() {})
		sends, mayHaveRun = executor.sent, req.MayHaveRun()
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

// Guards against a request that runs twice although it must not, against one that is given up although it may be
// retried, and against a wrong report of whether it may have run.
func TestRetriesAfterFailures(t *testing.T) {
	for _, c := range []struct {
		name       string
		req        pipeline.Request
		executor   scriptedExecutor
		budget     int
		sends      int
		mayHaveRun bool
		success    bool
	}{
		{"once, broken", pipeline.Request{MaxRetries: 3}, scriptedExecutor{attempts: []error{errBroken, nil}}, 9, 1, true, false},
		{"once, refused", pipeline.Request{MaxRetries: 3}, scriptedExecutor{attempts: []error{errNotRun, nil}}, 9, 2, true, true},
		{"once, refused, broken", pipeline.Request{MaxRetries: 3}, scriptedExecutor{attempts: []error{errNotRun, errBroken, nil}}, 9, 2, true, false},
		{"once, not sent", pipeline.Request{MaxRetries: 3}, scriptedExecutor{attempts: []error{errNotSent, errNotSent, nil}}, 0, 3, true, true},
		{"once, always refused", pipeline.Request{MaxRetries: 3}, scriptedExecutor{attempts: []error{errNotRun}}, 9, 4, false, false},
		{"repeatable, broken", pipeline.Request{Repeatable: true, MaxRetries: 3}, scriptedExecutor{attempts: []error{errBroken, nil}}, 9, 2, true, true},
		{"attempt limit", pipeline.Request{Repeatable: true, MaxAttempts: 2, MaxRetries: 3}, scriptedExecutor{attempts: []error{errBroken}}, 9, 2, true, false},
		{"refusals do not count as attempts", pipeline.Request{MaxAttempts: 1, MaxRetries: 3}, scriptedExecutor{attempts: []error{errNotRun, nil}}, 9, 2, true, true},
		{"budget", pipeline.Request{Repeatable: true, MaxRetries: 9}, scriptedExecutor{attempts: []error{errBroken}}, 2, 3, true, false},
		{"final", pipeline.Request{Repeatable: true, MaxRetries: 9}, scriptedExecutor{attempts: []error{errFinal, nil}}, 9, 1, false, false},
		{"no upstream, no wait allowed", pipeline.Request{MaxRetries: 9}, scriptedExecutor{placements: []error{errNone}, attempts: []error{nil}}, 9, 0, false, false},
		{"no upstream, wait allowed", pipeline.Request{MaxRetries: 9, MaxPlacementWait: time.Second}, scriptedExecutor{placements: []error{errNone}, attempts: []error{nil}}, 0, 1, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			sends, mayHaveRun, err := run(t, c.req, &c.executor, c.budget)
			g.Expect(sends).To(gomega.Equal(c.sends))
			g.Expect(mayHaveRun).To(gomega.Equal(c.mayHaveRun))
			g.Expect(err == nil).To(gomega.Equal(c.success))
		})
	}
}
