package experiment

import (
	"fmt"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// SavePlots writes one SVG file per metric into dir and returns the file names. Each plot shows the
// metric over the load, with one line per policy and the range over the seeds as error bars.
func SavePlots(dir string, s Spec, reports []Report) ([]string, error) {
	groups := Groups(s, reports)
	var files []string
	for _, f := range Metrics() {
		p, err := metricPlot(s, f, groups)
		if err != nil {
			return files, err
		}
		path := filepath.Join(dir, s.Name+"-"+strings.ReplaceAll(f.Name, " ", "-")+".svg")
		if err := p.Save(plotWidth, plotHeight, path); err != nil {
			return files, err
		}
		files = append(files, path)
	}
	return files, nil
}

func metricPlot(s Spec, f Metric, groups []Group) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, layout %s: median and range over %d seeds", f.Name, s.Layout, len(s.Seeds))
	p.X.Label.Text = "load (% of capacity)"
	p.Y.Label.Text = fmt.Sprintf("%s (%s), %s is better", f.Name, f.Unit, f.Better)
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, policy := range s.Policies {
		points := pointsOf(policy.Name, f, groups)
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return nil, err
		}
		bars, err := plotter.NewYErrorBars(points)
		if err != nil {
			return nil, err
		}
		colour := plotutil.Color(i)
		line.Color, marks.Color, bars.Color = colour, colour, colour
		marks.Shape = plotutil.Shape(i)
		p.Add(line, marks, bars)
		p.Legend.Add(policy.Name, line, marks)
	}
	return p, nil
}

// rangePoints holds medians with error bars in the form that gonum/plot requires.
type rangePoints struct {
	plotter.XYs
	plotter.YErrors
}

func pointsOf(policy string, f Metric, groups []Group) rangePoints {
	var out rangePoints
	for _, g := range groups {
		if g.Policy != policy || len(g.Reports) == 0 {
			continue
		}
		v := g.MedianRange(f)
		out.XYs = append(out.XYs, plotter.XY{X: 100 * g.Load, Y: v.Median})
		out.YErrors = append(out.YErrors, struct{ Low, High float64 }{v.Median - v.Low, v.High - v.Median})
	}
	return out
}
