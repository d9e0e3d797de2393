package stream_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"rhubarbpoint/engine"
	"rhubarbpoint/stream"
)

func token(attempt string, index int) *engine.Frame {
	return &engine.Frame{RequestID: "r", Attempt: attempt, Version: "v", Index: index, Token: fmt.Sprint("t", index)}
}

// Guards against delivering each kind of invalid frame.
func TestInvalidFramesAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		change func(f *engine.Frame)
		want   error
	}{
		"another request": {func(f *engine.Frame) { f.RequestID = "x" }, stream.ErrForeignFrame},
		"another attempt": {func(f *engine.Frame) { f.Attempt = "0" }, stream.ErrForeignFrame},
		"another version": {func(f *engine.Frame) { f.Version = "w" }, stream.ErrWrongVersion},
		"gap":             {func(f *engine.Frame) { f.Index = 2 }, stream.ErrGap},
		"negative index":  {func(f *engine.Frame) { f.Index = -1 }, stream.ErrGap},
		"changed token":   {func(f *engine.Frame) { f.Index, f.Token = 0, "x" }, stream.ErrTokenChanged},
		"early end":       {func(f *engine.Frame) { f.Token, f.End, f.Total = "", true, 9 }, stream.ErrBadTotal},
		"foreign end":     {func(f *engine.Frame) { f.End, f.Total, f.RequestID = true, 1, "x" }, stream.ErrForeignFrame},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			a := stream.NewAssembler("r", "v", 8)
			a.Begin("1")
			g.Expect(a.Add(token("1", 0))).To(gomega.BeTrue())
			f := token("1", 1)
			c.change(f)
			_, err := a.Add(f)
			g.Expect(err).To(gomega.MatchError(c.want))
			g.Expect(a.Delivered()).To(gomega.Equal([]string{"t0"}))
			g.Expect(a.Done()).To(gomega.BeFalse())
		})
	}
}

// Guards against more tokens than the limit, against frames after the end frame, and against a version change after the
// first token.
func TestLimits(t *testing.T) {
	g := gomega.NewWithT(t)
	a := stream.NewAssembler("r", "v", 1)
	a.Begin("1")
	g.Expect(a.Add(token("1", 0))).To(gomega.BeTrue())
	_, err := a.Add(token("1", 1))
	g.Expect(err).To(gomega.MatchError(stream.ErrTooLong))
	end := &engine.Frame{RequestID: "r", Attempt: "1", Version: "v", End: true, Total: 1}
	g.Expect(a.Add(end)).To(gomega.BeFalse())
	_, err = a.Add(end)
	g.Expect(err).To(gomega.MatchError(stream.ErrAfterEnd))
	a.SetVersion("w")
	g.Expect(a.Version()).To(gomega.Equal("v"))
}

// Guards against mixing frames of several requests and attempts: in whatever order they arrive, the delivered tokens
// must be a prefix of the request's own completion, and all of it once the assembler is done.
func TestDeliveredTokensAreAPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 5
		a := stream.NewAssembler("r", "v", total)
		a.Begin("1")
		attempt := 1
		for range rapid.IntRange(1, 60).Draw(t, "frames") {
			f := token(fmt.Sprint(rapid.IntRange(1, attempt).Draw(t, "attempt")), rapid.IntRange(0, total).Draw(t, "index"))
			if rapid.IntRange(0, 4).Draw(t, "foreign") == 0 {
				f.RequestID, f.Token = "x", "foreign"
			}
			if f.Index == total {
				f.End, f.Token, f.Total = true, "", rapid.IntRange(0, total).Draw(t, "total")
				if f.Total != total {
					f.RequestID = "x"
				}
			}
			if _, err := a.Add(f); err != nil {
				attempt++
				a.Begin(fmt.Sprint(attempt))
			}
			for i, got := range a.Delivered() {
				if got != fmt.Sprint("t", i) {
					t.Fatalf("token %d is %q", i, got)
				}
			}
			if a.Done() {
				if len(a.Delivered()) != total {
					t.Fatalf("finished with %d tokens", len(a.Delivered()))
				}
				return
			}
		}
	})
}
