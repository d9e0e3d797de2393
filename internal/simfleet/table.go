package simfleet

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// WriteTable writes one line for each deployment and policy, and for the product also one for each kind of request, its
// largest requests, and each zone. previous is an earlier report to compare with, or nil.
func (r *Report) WriteTable(out io.Writer, previous *Report) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, d := range r.Deployments {
		fmt.Fprintf(table, "%s\tearned\tof bound\tbefore\tin time\tlate\trefused\tfailed\trefusals\torders\tread\tagain\t\n", d.Name)
		line := func(name string, result *Result) {
			before := "-"
			if previous != nil {
				if old := previous.Find(d.Name, result.Policy); old != nil {
					before = fmt.Sprintf("%.3f", old.All.CreditShare())
				}
			}
			t := &result.All
			fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%s\t%s\t%d\t%d\t%.1f Mtok\t%.1f Mtok\t\n", name, t.CreditShare(), t.CreditShare()/d.Bounds.Schedule, before,
				t.shares(), result.Refusals, result.Orders, float64(result.PrefillTokens)/1e6, float64(result.RepeatedPrefillTokens)/1e6)
		}
		for _, result := range d.Results {
			line(result.Policy, result)
		}
		if best := d.BestFixedAssignment(); best != nil {
			line("best in hindsight: "+best.Policy, best)
		}
		fmt.Fprintf(table, "bound, best division (%d prefill)\t%.3f\t%.3f\t\t\t\t\t\t\t\t\t\t\n", d.Bounds.PrefillReplicas, d.Bounds.FixedAssignment,
			d.Bounds.FixedAssignment/d.Bounds.Schedule)
		fmt.Fprintf(table, "bound, any schedule\t%.3f\t%.3f\t\t\t\t\t\t\t\t\t\t\n", d.Bounds.Schedule, 1.0)
		if result := r.Find(d.Name, Product); result != nil {
			result.writeKinds(table)
		}
		fmt.Fprintln(table, "\t\t\t\t\t\t\t\t\t\t\t\t")
	}
	return errors.Wrap(table.Flush(), "simfleet: write table")
}

// writeKinds writes a line for each kind of request, its largest requests, and each zone.
func (r *Result) writeKinds(table io.Writer) {
	line := func(name string, t *Tally) {
		if t.Requests > 0 {
			fmt.Fprintf(table, "%s\t%.3f\t\t\t%s\t\t\t\t\t\n", name, t.CreditShare(), t.shares())
		}
	}
	for _, name := range sortedKeys(r.Kinds) {
		line(name, r.Kinds[name])
		if large := r.Largest[name]; large[0].MaxCredit != float64(large[0].Requests)*r.Kinds[name].MaxCredit/float64(max(1, r.Kinds[name].Requests)) {
			line(name+", largest tenth", large[0])
			line(name+", next fifth", large[1])
		}
	}
	for _, name := range sortedKeys(r.Zones) {
		line("zone "+name, r.Zones[name])
	}
}

// shares returns the shares of the outcomes as table cells.
func (t *Tally) shares() string {
	share := func(n int) float64 { return float64(n) / float64(max(1, t.Requests)) }
	return fmt.Sprintf("%.3f\t%.3f\t%.3f\t%.3f", share(t.InTime), share(t.Late), share(t.Refused), share(t.Failed))
}

func sortedKeys(m map[string]*Tally) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
