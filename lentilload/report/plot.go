package report

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	// plotPoints is the number of points of a distribution.
	plotPoints = 400
	// leastColdPoints is the number of arrivals that is worth a plot.
	leastColdPoints = 10
)

// draw makes the plots of one experiment and returns their names.
func draw(guarded, baseline *Trace, folder string) ([]string, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, merry.Wrap(err)
	}
	name := fmt.Sprintf("%s-%s", guarded.Result.Name, guarded.Result.Site)
	p := plot.New()
	p.Title.Text = "latency, " + name
	p.X.Label.Text = "ms"
	p.Y.Label.Text = "share of answers"
	if err := plotutil.AddLines(p, "lentilward", distribution(guarded.Latencies), "plain fan-out", distribution(baseline.Latencies)); err != nil {
		return nil, merry.Wrap(err)
	}
	p.Legend.Top = false
	if err := p.Save(plotWidth, plotHeight, filepath.Join(folder, name+"-latency.png")); err != nil {
		return nil, merry.Wrap(err)
	}
	names := []string{name + "-latency"}
	if len(guarded.Cold) < leastColdPoints || guarded.Result.Name != "cold-start" {
		return names, nil
	}
	if err := drawCold(guarded, filepath.Join(folder, name+"-cold.png")); err != nil {
		return nil, err
	}
	return append(names, name+"-cold"), nil
}

// drawCold plots what was in flight on cold servers over time.
func drawCold(t *Trace, path string) error {
	p := plot.New()
	p.Title.Text = "in flight on cold servers, " + t.Result.Name + "-" + t.Result.Site
	p.X.Label.Text = "s"
	p.Y.Label.Text = "requests"
	var load, bears plotter.XYs
	for _, c := range t.Cold {
		load = append(load, plotter.XY{X: c.Seconds, Y: float64(c.InFlight)})
		bears = append(bears, plotter.XY{X: c.Seconds, Y: float64(c.Bears)})
	}
	if err := plotutil.AddScatters(p, "in flight at arrival", load, "what the server bears", bears); err != nil {
		return merry.Wrap(err)
	}
	p.Y.Min = 0
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return merry.Wrap(err)
	}
	return nil
}

// distribution returns the cumulative distribution of sorted values.
func distribution(sorted []float64) plotter.XYs {
	var points plotter.XYs
	n := len(sorted)
	for i := range min(n, plotPoints) {
		at := i * n / min(n, plotPoints)
		points = append(points, plotter.XY{X: sorted[at], Y: float64(at+1) / float64(n)})
	}
	return points
}
