package experiment

import (
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the picture and of its bars.
const (
	plotHeight = 12 * vg.Centimeter
	plotEach   = 2.4 * vg.Centimeter
	barWidth   = 0.6 * vg.Centimeter
)

// writePlot draws the cold-start p99 of both policies, a pair of bars for each row.
func writePlot(name string, rows []Row) error {
	p := plot.New()
	p.Title.Text = "Cold start, 99th percentile"
	p.Y.Label.Text = "seconds"
	p.Y.Min = 0
	p.Legend.Top = true
	var labels []string
	var before, after plotter.Values
	for _, r := range rows {
		labels = append(labels, r.label())
		before = append(before, finite(r.Plain.ColdP99))
		after = append(after, finite(r.Own.ColdP99))
	}
	for i, values := range []plotter.Values{before, after} {
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(2*i-1) / 2
		p.Add(bars)
		p.Legend.Add([]string{"plain", "own"}[i], bars)
	}
	p.NominalX(labels...)
	p.X.Tick.Label.Rotation = math.Pi / 6
	p.X.Tick.Label.XAlign, p.X.Tick.Label.YAlign = -1, -0.5
	return p.Save(max(plotHeight, plotEach*vg.Length(len(rows))), plotHeight, name)
}

func finite(v float64) float64 {
	if math.IsNaN(v) {
		return 0
	}
	return v
}
