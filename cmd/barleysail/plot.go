package main

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"barleysail/replay"
)

// plotDays draws the service of both replays by window, above what was recorded; SVG or PNG, by the file's name.
func plotDays(file string, one, other *replay.Outcome) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Service by time of arrival", "seconds", "share of the earnings asked for"
	p.Y.Max, p.Legend.Top = 1.005, false
	for _, line := range []struct {
		name  string
		of    *replay.Outcome
		pick  func(replay.Window) []float64
		color color.Color
		dash  []vg.Length
	}{
		{"recorded", one, func(w replay.Window) []float64 { return w.Recorded }, color.Gray{150}, []vg.Length{3, 3}},
		{"replayed", one, func(w replay.Window) []float64 { return w.Replayed }, color.RGBA{30, 90, 180, 255}, nil},
		{"other setting", other, func(w replay.Window) []float64 { return w.Replayed }, color.RGBA{200, 80, 20, 255}, nil},
	} {
		var xy plotter.XYs
		for i, w := range line.of.Windows {
			asked, earned := 0.0, 0.0
			for k := range w.Asked {
				asked, earned = asked+w.Asked[k], earned+line.pick(w)[k]
			}
			if asked > 0 {
				xy = append(xy, plotter.XY{X: float64(i) * 5, Y: earned / asked})
			}
		}
		l, err := plotter.NewLine(xy)
		if err != nil {
			return fmt.Errorf("drawing %s: %w", line.name, err)
		}
		l.Color, l.Width, l.Dashes = line.color, vg.Points(1.5), line.dash
		p.Add(l)
		p.Legend.Add(line.name, l)
	}
	if err := p.Save(9*vg.Inch, 4*vg.Inch, file); err != nil {
		return fmt.Errorf("writing the plot: %w", err)
	}
	return nil
}
