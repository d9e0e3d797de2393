package bench

import (
	"fmt"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// WritePlots writes SVG files to a directory: the goodput and the role changes of all policies, and the goodput over
// time for each trace.
func (r *Report) WritePlots(dir string) error {
	goodput := func(row *Result) float64 { return row.Goodput }
	changes := func(row *Result) float64 { return float64(row.RoleChanges) }
	if err := r.bars(filepath.Join(dir, "goodput.svg"), "Goodput", "requests/s", goodput); err != nil {
		return err
	}
	if err := r.bars(filepath.Join(dir, "role-changes.svg"), "Role changes", "changes", changes); err != nil {
		return err
	}
	for _, t := range r.Traces {
		if err := t.overTime(filepath.Join(dir, "trace-"+t.Trace+".svg")); err != nil {
			return err
		}
	}
	return nil
}

// legendWidth is the width of the legend at the right, relative to the width of the data.
const legendWidth = 0.17

// bars draws a bar chart with one group of bars for each trace.
func (r *Report) bars(file, title, unit string, value func(*Result) float64) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, seed %d", title, r.Seed)
	p.Y.Label.Text = unit
	p.Legend.Top = true
	rows := len(r.Traces[0].Rows)
	width := vg.Points(7)
	var names []string
	for _, t := range r.Traces {
		names = append(names, t.Trace)
	}
	for i := range rows {
		values := make(plotter.Values, len(r.Traces))
		for j, t := range r.Traces {
			values[j] = value(t.Rows[i])
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return errors.Wrapf(err, "bench: plot %s", file)
		}
		bars.LineStyle.Width = 0
		bars.Color = plotutil.Color(i)
		if i >= len(plotutil.DefaultColors) {
			bars.Color = plotutil.DarkColors[i-len(plotutil.DefaultColors)]
		}
		bars.Offset = vg.Length(float64(i)-float64(rows-1)/2) * width
		p.Add(bars)
		p.Legend.Add(r.Traces[0].Rows[i].Policy, bars)
	}
	p.NominalX(names...)
	p.X.Max += legendWidth * float64(len(names))
	return errors.Wrapf(p.Save(vg.Points(float64(200+90*len(names))), vg.Points(360), file), "bench: plot %s", file)
}

// overTime draws the good completions of each time slot.
func (t *TraceReport) overTime(file string) error {
	p := plot.New()
	p.Title.Text = "Good completions by arrival, trace " + t.Trace
	p.X.Label.Text = "s"
	p.Y.Label.Text = "requests/s"
	p.Y.Min = 0
	p.Legend.Top = true
	var lines []any
	for _, row := range t.Rows {
		switch row.Policy {
		case policyStatic, policyGreedy, policyGoodput, policyChanges, policyOptimum:
			lines = append(lines, row.Policy, goodputOverTime(row))
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrapf(err, "bench: plot %s", file)
	}
	p.X.Max *= 1 + legendWidth
	return errors.Wrapf(p.Save(vg.Points(900), vg.Points(320), file), "bench: plot %s", file)
}

// goodputOverTime returns the goodput of each time slot after the warm-up, without the last one, which may be
// incomplete.
func goodputOverTime(row *Result) plotter.XYs {
	var points plotter.XYs
	for n := range row.GoodBySlot[0] {
		sum := 0
		for region := range row.GoodBySlot {
			sum += row.GoodBySlot[region][n]
		}
		if sum == 0 && len(points) == 0 {
			continue // the warm-up is not counted
		}
		points = append(points, plotter.XY{X: float64(n) * timeSlot.Seconds(), Y: float64(sum) / timeSlot.Seconds()})
	}
	return points[:len(points)-1]
}
