package main

import (
	"errors"
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

const (
	plotWidth     = 9 * vg.Inch
	plotHeight    = 6 * vg.Inch
	windowSeconds = 5     // length of the windows of replay.Outcome
	maxService    = 1.005 // upper end of the service axis: a line at 1 stays visible
)

var (
	recordedColor = color.Gray{150}
	replayedColor = color.RGBA{30, 90, 180, 255}
	changedColor  = color.RGBA{200, 80, 20, 255}
	recordedDash  = []vg.Length{3, 3}
)

// plotLine is one line of a plot.
type plotLine struct {
	name    string
	outcome *replay.Outcome
	served  func(replay.Window) []float64 // served priority weight, by request class
	color   color.Color
	dashes  []vg.Length
}

// plotComparison draws the service of two replays over time, one above the other on the same scales, each with the
// recorded service. The file's extension selects SVG or PNG.
func plotComparison(file string, one, other *replay.Outcome) error {
	charts, err := comparisonCharts(one, other)
	if err != nil {
		return err
	}
	canvas, err := newCanvas(file)
	if err != nil {
		return err
	}
	tiles := draw.Tiles{Rows: len(charts), Cols: 1, PadY: vg.Points(12), PadRight: vg.Points(6)}
	for i, row := range plot.Align(charts, tiles, draw.New(canvas)) {
		charts[i][0].Draw(row[0])
	}
	return writeCanvas(file, canvas)
}

// comparisonCharts returns the charts of both replays, each in its own row.
func comparisonCharts(one, other *replay.Outcome) ([][]*plot.Plot, error) {
	recorded := plotLine{"recorded", one, recordedService, recordedColor, recordedDash}
	replayed := plotLine{"replayed", one, replayedService, replayedColor, nil}
	changed := plotLine{"other setting", other, replayedService, changedColor, nil}
	upper, err := newChart("Replayed with its own setting", recorded, replayed)
	if err != nil {
		return nil, err
	}
	lower, err := newChart("With the other setting", recorded, changed)
	if err != nil {
		return nil, err
	}
	minService := min(upper.Y.Min, lower.Y.Min)
	upper.Y.Min = minService
	lower.Y.Min = minService
	lower.X.Label.Text = "seconds, by the time of arrival"
	return [][]*plot.Plot{{upper}, {lower}}, nil
}

func recordedService(window replay.Window) []float64 { return window.Recorded }
func replayedService(window replay.Window) []float64 { return window.Replayed }

func newCanvas(file string) (vg.CanvasWriterTo, error) {
	switch strings.ToLower(filepath.Ext(file)) {
	case ".svg":
		return vgsvg.New(plotWidth, plotHeight), nil
	case ".png":
		return vgimg.PngCanvas{Canvas: vgimg.New(plotWidth, plotHeight)}, nil
	}
	return nil, fmt.Errorf("plot %s: unknown file format, want .svg or .png", file)
}

func writeCanvas(name string, canvas vg.CanvasWriterTo) (err error) {
	file, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("creating the plot: %w", err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	if _, err := canvas.WriteTo(file); err != nil {
		return fmt.Errorf("writing the plot: %w", err)
	}
	return nil
}

// newChart returns a chart of lines over time.
func newChart(title string, lines ...plotLine) (*plot.Plot, error) {
	chart := plot.New()
	chart.Title.Text = title
	chart.Y.Label.Text = "service level by priority weight"
	for _, line := range lines {
		drawn, err := plotter.NewLine(line.points())
		if err != nil {
			return nil, fmt.Errorf("drawing %s: %w", line.name, err)
		}
		drawn.Color = line.color
		drawn.Width = vg.Points(1.5)
		drawn.Dashes = line.dashes
		chart.Add(drawn)
		chart.Legend.Add(line.name, drawn)
	}
	chart.Y.Max = maxService
	chart.Legend.Top = false
	return chart, nil
}

// points returns the fraction of the requested priority weight that was served, for each window with requests.
func (l plotLine) points() plotter.XYs {
	var points plotter.XYs
	for i, window := range l.outcome.Windows {
		requested := 0.0
		served := 0.0
		for class, weight := range window.Offered {
			requested += weight
			served += l.served(window)[class]
		}
		if requested > 0 {
			points = append(points, plotter.XY{X: float64(i) * windowSeconds, Y: served / requested})
		}
	}
	return points
}
