package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// WriteTable writes the table of policies and traces and the summaries.
func (r *Report) WriteTable(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, t := range r.Traces {
		fmt.Fprintf(table, "%s\tgoodput/s\tgood\tlate\trefused\trole changes\tprefilled twice\tbetween regions\tof optimum\t\n", t.Trace)
		best := t.row(policyOptimum)
		for _, row := range t.Rows {
			fmt.Fprintf(table, "%s\t%.2f\t%.1f %%\t%d\t%d\t%d\t%.2f Mtok\t%.2f MB\t%.3f\t\n", row.Policy, row.Goodput,
				100*float64(row.Good)/float64(row.Requests), row.Late, row.Refused, row.RoleChanges,
				float64(row.RepeatedPrefillTokens)/1e6, float64(row.InterRegionBytes)/1e6, ratio(row.Goodput, best.Goodput))
		}
		fmt.Fprintf(table, "\t\t\t\t\t\t\t\t\t\n")
	}
	for _, h := range r.Herd {
		fmt.Fprintf(table, "herd: %s\t%.2f\twith 3\t%.2f\twith 30\tloss\t%.1f %%\t\t\t\n", h.Trace, h.Few, h.Many, 100*h.Loss)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "bench: write table")
	}
	for _, s := range r.Summaries() {
		if _, err := fmt.Fprintln(out, s); err != nil {
			return errors.Wrap(err, "bench: write table")
		}
	}
	return nil
}

// Summary is the final line for one weighting: the worst goodput ratios of all traces, and the ratio of the role
// changes on all traces.
type Summary struct {
	Weighting          string
	GoodputVsOptimum   float64
	GoodputVsStatic    float64
	RoleChangesVsGreed float64
}

// String implements fmt.Stringer.
func (s Summary) String() string {
	return fmt.Sprintf("bench: goodput_vs_optimum=%.3f goodput_vs_static=%.3f role_changes_vs_greedy=%.3f weighting=%s",
		s.GoodputVsOptimum, s.GoodputVsStatic, s.RoleChangesVsGreed, s.Weighting)
}

// Summaries returns the summary of each weighting.
func (r *Report) Summaries() []Summary {
	var list []Summary
	for _, policy := range []string{policyGoodput, policyChanges} {
		s := Summary{Weighting: policy}
		var changes, greedy int
		for i, t := range r.Traces {
			row := t.row(policy)
			optimum, static := ratio(row.Goodput, t.row(policyOptimum).Goodput), ratio(row.Goodput, t.row(policyStatic).Goodput)
			if i == 0 || optimum < s.GoodputVsOptimum {
				s.GoodputVsOptimum = optimum
			}
			if i == 0 || static < s.GoodputVsStatic {
				s.GoodputVsStatic = static
			}
			changes += row.RoleChanges
			greedy += t.row(policyGreedy).RoleChanges
		}
		s.RoleChangesVsGreed = ratio(float64(changes), float64(greedy))
		list = append(list, s)
	}
	return list
}

// WriteJSON writes the whole report, indented.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return errors.Wrap(encoder.Encode(r), "bench: write report")
}
