package experiment

import (
	"fmt"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot draws each figure against the sweep, with the confidence intervals of its means, as PNG and
// SVG. It returns the paths of the files.
func (f *File) Plot(all []Summary, dir string) (files []string, err error) {
	for _, figure := range f.Figures {
		p := plot.New()
		p.Title.Text, p.X.Label.Text, p.Y.Label.Text = f.Title, f.Sweep, figure
		p.Add(plotter.NewGrid())
		for k, v := range f.Variant {
			var line points
			for _, s := range all {
				if s.Figure == figure && k < len(s.Means) {
					line.XYs = append(line.XYs, plotter.XY{X: s.X, Y: s.Means[k]})
					line.YErrors = append(
						line.YErrors,
						struct{ Low, High float64 }{s.Spreads[k], s.Spreads[k]},
					)
				}
			}
			if len(line.XYs) == 0 {
				continue
			}
			l, dots, err := plotter.NewLinePoints(line.XYs)
			if err != nil {
				return files, fmt.Errorf("plot: %s: %w", figure, err)
			}
			bars, err := plotter.NewYErrorBars(line)
			if err != nil {
				return files, fmt.Errorf("plot: %s: %w", figure, err)
			}
			l.Color, dots.Color, bars.Color = plotutil.Color(
				k,
			), plotutil.Color(
				k,
			), plotutil.Color(
				k,
			)
			dots.Shape = plotutil.Shape(k)
			p.Add(l, dots, bars)
			p.Legend.Add(v.Name, l, dots)
		}
		if lo, hi := slices.Min(f.Values), slices.Max(f.Values); lo > 0 && hi > 20*lo {
			p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		}
		for _, kind := range []string{"png", "svg"} {
			path := filepath.Join(dir, f.Name+"-"+figure+"."+kind)
			if err := p.Save(6*vg.Inch, 4*vg.Inch, path); err != nil {
				return files, fmt.Errorf("plot: %w", err)
			}
			files = append(files, path)
		}
	}
	return files, nil
}

// points are means with their error bars.
type points struct {
	plotter.XYs
	plotter.YErrors
}
