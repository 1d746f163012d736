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
	// maxPlotPoints is the maximum number of plotted points of a distribution.
	maxPlotPoints = 400
	// minColdArrivals is the minimum number of arrivals at cold servers that is
	// plotted.
	minColdArrivals = 10
)

// drawPlots saves the plots of one experiment and returns their names.
func drawPlots(guarded, baseline *Trace, folder string) ([]string, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, merry.Wrap(err)
	}
	name := fmt.Sprintf("%s-%s", guarded.Result.Name, guarded.Result.Site)
	p := plot.New()
	p.Title.Text = "latency, " + name
	p.X.Label.Text = "ms"
	p.Y.Label.Text = "share of answers"
	if err := plotutil.AddLines(p, "lentilward", cumulativeDistribution(guarded.Latencies), "plain fan-out", cumulativeDistribution(baseline.Latencies)); err != nil {
		return nil, merry.Wrap(err)
	}
	p.Legend.Top = false
	if err := p.Save(plotWidth, plotHeight, filepath.Join(folder, name+"-latency.png")); err != nil {
		return nil, merry.Wrap(err)
	}
	names := []string{name + "-latency"}
	if len(guarded.ColdArrivals) < minColdArrivals || guarded.Result.Name != "cold-start" {
		return names, nil
	}
	if err := drawColdServerLoad(guarded, filepath.Join(folder, name+"-cold.png")); err != nil {
		return nil, err
	}
	return append(names, name+"-cold"), nil
}

// drawColdServerLoad plots the requests in flight on cold servers and the limits
// of these servers over time.
func drawColdServerLoad(t *Trace, path string) error {
	p := plot.New()
	p.Title.Text = "in flight on cold servers, " + t.Result.Name + "-" + t.Result.Site
	p.X.Label.Text = "s"
	p.Y.Label.Text = "requests"
	var inFlight, limits plotter.XYs
	for _, c := range t.ColdArrivals {
		inFlight = append(inFlight, plotter.XY{X: c.Seconds, Y: float64(c.InFlight)})
		limits = append(limits, plotter.XY{X: c.Seconds, Y: float64(c.ColdLimit)})
	}
	if err := plotutil.AddScatters(p, "in flight at arrival", inFlight, "limit of the cold server", limits); err != nil {
		return merry.Wrap(err)
	}
	p.Y.Min = 0
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return merry.Wrap(err)
	}
	return nil
}

// cumulativeDistribution returns the cumulative distribution of values that are
// sorted in ascending order.
func cumulativeDistribution(sorted []float64) plotter.XYs {
	var points plotter.XYs
	n := len(sorted)
	for i := range min(n, maxPlotPoints) {
		index := i * n / min(n, maxPlotPoints)
		points = append(points, plotter.XY{X: sorted[index], Y: float64(index+1) / float64(n)})
	}
	return points
}
