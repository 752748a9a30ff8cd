package main

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"barleysail/replay"
)

// lineOf is a line of a day's plot.
type lineOf struct {
	name  string
	of    *replay.Outcome
	pick  func(replay.Window) []float64
	color color.Color
	dash  []vg.Length
}

// plotDays draws the service of both days by window, one above the other on the same scales, each with what was
// recorded; SVG or PNG, by the file's name.
func plotDays(file string, one, other *replay.Outcome) (err error) {
	recorded := lineOf{"recorded", one, func(w replay.Window) []float64 { return w.Recorded }, color.Gray{150}, []vg.Length{3, 3}}
	replayed := func(w replay.Window) []float64 { return w.Replayed }
	top, err := plotDay("Replayed with its own setting", recorded, lineOf{"replayed", one, replayed, color.RGBA{30, 90, 180, 255}, nil})
	if err != nil {
		return err
	}
	below, err := plotDay("With the other setting", recorded, lineOf{"other setting", other, replayed, color.RGBA{200, 80, 20, 255}, nil})
	if err != nil {
		return err
	}
	least := min(top.Y.Min, below.Y.Min)
	top.Y.Min, below.Y.Min = least, least
	below.X.Label.Text = "seconds, by the time of arrival"

	var canvas vg.CanvasWriterTo
	switch strings.ToLower(filepath.Ext(file)) {
	case ".svg":
		canvas = vgsvg.New(9*vg.Inch, 6*vg.Inch)
	case ".png":
		canvas = vgimg.PngCanvas{Canvas: vgimg.New(9*vg.Inch, 6*vg.Inch)}
	default:
		return fmt.Errorf("the plot %s: .svg and .png are known", file)
	}
	days := [][]*plot.Plot{{top}, {below}}
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: vg.Points(12), PadRight: vg.Points(6)}
	for i, row := range plot.Align(days, tiles, draw.New(canvas)) {
		days[i][0].Draw(row[0])
	}
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("making the plot: %w", err)
	}
	defer func() {
		if closed := f.Close(); err == nil {
			err = closed
		}
	}()
	if _, err := canvas.WriteTo(f); err != nil {
		return fmt.Errorf("writing the plot: %w", err)
	}
	return nil
}

func plotDay(title string, lines ...lineOf) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, "share of the earnings asked for"
	for _, line := range lines {
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
			return nil, fmt.Errorf("drawing %s: %w", line.name, err)
		}
		l.Color, l.Width, l.Dashes = line.color, vg.Points(1.5), line.dash
		p.Add(l)
		p.Legend.Add(line.name, l)
	}
	p.Y.Max, p.Legend.Top = 1.005, false
	return p, nil
}
