package simfleet

import (
	"path/filepath"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// WritePlots writes SVG files to a folder: for each deployment the answers in time, the refused requests and the requests
// that wait, over time.
func (r *Report) WritePlots(dir string) error {
	perSecond := 1 / sampleInterval.Seconds()
	for _, d := range r.Deployments {
		for _, p := range []struct {
			name, title, unit string
			value             func(*Result, int) float64
		}{
			{"in-time", "Answers in time, by arrival", "requests/s", func(r *Result, n int) float64 { return float64(r.Intervals[n].InTime) * perSecond }},
			{"refused", "Refused requests, by arrival", "requests/s", func(r *Result, n int) float64 { return float64(r.Intervals[n].Refused) * perSecond }},
			{"waiting", "Requests that wait at replicas", "requests", func(r *Result, n int) float64 { return float64(r.Waiting[n]) }},
		} {
			if err := d.lines(filepath.Join(dir, d.Name+"-"+p.name+".svg"), p.title, p.unit, p.value); err != nil {
				return err
			}
		}
	}
	return nil
}

// legendRoom is the room for the legend at the right, relative to the width of the data.
const legendRoom = 0.2

func (d *DeploymentReport) lines(file, title, unit string, value func(*Result, int) float64) error {
	p := plot.New()
	p.Title.Text = title + ", " + d.Name
	p.X.Label.Text, p.Y.Label.Text = "s", unit
	p.Y.Min = 0
	p.Legend.Top = true
	var lines []any
	for _, result := range d.Results {
		var points plotter.XYs
		for n := range min(len(result.Intervals), len(result.Waiting)) {
			points = append(points, plotter.XY{X: slotTime(n).Seconds(), Y: value(result, n)})
		}
		lines = append(lines, result.Policy, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "simfleet: plot")
	}
	p.X.Max *= 1 + legendRoom
	return errors.Wrap(p.Save(vg.Points(900), vg.Points(360), file), "simfleet: plot")
}
