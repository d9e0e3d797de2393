package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"rhubarbpoint/explain"
	"rhubarbpoint/place"
)

type explainCommand struct {
	request  explain.Request
	segments string
	deadline time.Duration
	target   target
	output   output
}

func (*explainCommand) Name() string { return "explain" }
func (*explainCommand) Synopsis() string {
	return "tell where an instance would send a request now, and why"
}
func (*explainCommand) Usage() string {
	return `explain [-operator IP:PORT] -host H -path P [-workspace W] [-prompt-tokens N] [-segments ID:TOKENS,...] [-deadline 2s] [-o json]
	Print the replica that the instance would choose for a request now, or the refusal, and its estimates of each replica.
	Nothing is sent and nothing changes. The workspace is given by name; the command takes no key.
`
}

func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.request.Host, "host", "", "host of the request")
	f.StringVar(&c.request.Path, "path", "", "path of the request")
	f.StringVar(&c.request.Workspace, "workspace", "", "name of the caller's workspace; none if empty")
	f.IntVar(&c.request.PromptTokens, "prompt-tokens", 0, "length of the prompt; that of the segments if 0")
	f.StringVar(&c.segments, "segments", "", "segments of the prompt as `ID:TOKENS,...`, with the IDs in hexadecimal")
	f.DurationVar(&c.deadline, "deadline", 0, "how long the caller waits, as 2s; if 0, as for a request that does not say")
	c.target.setFlag(f)
	c.output.setFlag(f)
}

func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	instance, err := c.target.client()
	if err == nil {
		err = c.output.check()
	}
	if err == nil {
		err = c.check(f)
	}
	if err != nil {
		return usageError(err)
	}
	result, err := instance.Explain(ctx, &c.request)
	if err != nil {
		return c.output.fail(err)
	}
	c.output.print(result, func(w io.Writer) { printExplanation(w, result) })
	return subcommands.ExitSuccess
}

// check completes and checks the request.
func (c *explainCommand) check(f *flag.FlagSet) (err error) {
	if f.NArg() > 0 {
		return fmt.Errorf("unexpected argument %q", f.Arg(0))
	}
	if c.deadline != 0 && c.deadline < time.Millisecond {
		return fmt.Errorf("-deadline must be 1ms or more, got %v", c.deadline)
	}
	c.request.DeadlineMs = c.deadline.Milliseconds()
	if c.request.Segments, err = explain.ParseSegments(c.segments); err != nil {
		return err
	}
	return c.request.Check()
}

func printExplanation(w io.Writer, r *explain.Result) {
	fmt.Fprintf(w, "route %s, service %s, workspace %s, priority %d, version %d\n", orNone(r.Route), orNone(r.Service), orNone(r.Workspace), r.Priority, r.Version)
	if p := r.Placement; p != nil {
		fmt.Fprintf(w, "placed on %s, prefill on %s: first byte after %.1f ms, %.1f ms of it waiting, %d uncached tokens\n",
			p.Replica, orNone(p.Prefill), p.FirstByteMs, p.WaitMs, p.UncachedTokens)
	}
	if refused := r.Refusal; refused != nil {
		fmt.Fprintf(w, "refused: status %d, %s: %s\n", refused.Status, refused.Code, refused.Message)
		if refused.Reason != "" {
			fmt.Fprintf(w, "reason: %s\n", refused.Reason)
		}
	}
	if len(r.Replicas) == 0 {
		return
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nREPLICA\tZONE\tSTAGE\tIN FLIGHT\tREQUESTS\tWAITING\tQUEUED TOKENS\tSPEED FACTOR\tFACTOR AGE MS\tREPORT AGE MS\tWAIT MS\tFIRST BYTE MS\tSCORE MS\tRESULT")
	for i := range r.Replicas {
		printReplica(table, &r.Replicas[i], r.Placement)
	}
	table.Flush()
}

func printReplica(w io.Writer, e *place.ReplicaEstimate, p *explain.Placement) {
	var wait, first, score *float64
	if e.Estimate != nil {
		wait, first, score = &e.Estimate.WaitMs, &e.Estimate.FirstByteMs, &e.Estimate.ScoreMs
	}
	result := string(e.Excluded)
	switch {
	case p != nil && e.Replica == p.Replica:
		result = "chosen"
	case p != nil && e.Replica == p.Prefill:
		result = "chosen for prefill"
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.1f\t%d\t%d\t%.2f\t%s\t%s\t%s\t%s\t%s\t%s\n", e.Replica, e.Zone, e.Stage, e.InFlight, e.Requests, e.Waiting, e.QueuedTokens,
		e.SpeedFactor, orDash(e.FactorAgeMs), orDash(e.ReportAgeMs), orDash(wait), orDash(first), orDash(score), orNone(result))
}

func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func orDash(v *float64) string {
	if v == nil {
		return "-"
	}
	return strconv.FormatFloat(*v, 'f', 1, 64)
}
