package simfleet

import (
	"path/filepath"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// WritePlots writes SVG files to a directory: for each deployment the responses in time, the refused requests and the
// waiting requests, over time.
func (r *Report) WritePlots(dir string) error {
	perSecond := 1 / sampleInterval.Seconds()
	for _, d := range r.Deployments {
		for _, p := range []struct {
			name, title, unit string
			value             func(*Result, int) float64
		}{
			{"in-time", "Responses in time, by arrival", "requests/s", func(r *Result, n int) float64 { return float64(r.Intervals[n].InTime) * perSecond }},
			{"refused", "Refused requests, by arrival", "requests/s", func(r *Result, n int) float64 { return float64(r.Intervals[n].Refused) * perSecond }},
			{"waiting", "Requests waiting at replicas", "requests", func(r *Result, n int) float64 { return float64(r.Waiting[n]) }},
		} {
			if err := d.plotOverTime(filepath.Join(dir, d.Name+"-"+p.name+".svg"), p.title, p.unit, p.value); err != nil {
				return err
			}
		}
	}
	return nil
}

// legendWidth is the width of the legend at the right, relative to the width of the data.
const legendWidth = 0.2

// plotOverTime draws one line for each policy.
func (d *DeploymentReport) plotOverTime(file, title, unit string, value func(*Result, int) float64) error {
	p := plot.New()
	p.Title.Text = title + ", " + d.Name
	p.X.Label.Text, p.Y.Label.Text = "s", unit
	p.Y.Min = 0
	p.Legend.Top = true
	var lines []any
	for _, result := range d.Results {
		var points plotter.XYs
		for n := range min(len(result.Intervals), len(result.Waiting)) {
			points = append(points, plotter.XY{X: intervalMiddle(n).Seconds(), Y: value(result, n)})
		}
		lines = append(lines, result.Policy, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrapf(err, "simfleet: plot %s", file)
	}
	p.X.Max *= 1 + legendWidth
	return errors.Wrapf(p.Save(vg.Points(900), vg.Points(360), file), "simfleet: plot %s", file)
}
