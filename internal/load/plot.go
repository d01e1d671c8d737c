package load

import (
	"bytes"
	"fmt"
	"image/color"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/cicadacove/cicadacove/internal/load/model"
)

// Size of one plot. The plots of the ranks are drawn side by side.
const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// variantColors are the line colors of the variants.
var variantColors = []color.Color{
	color.RGBA{R: 0, G: 90, B: 181, A: 255},
	color.RGBA{R: 220, G: 50, B: 32, A: 255},
	color.RGBA{R: 120, G: 120, B: 120, A: 255},
	color.RGBA{R: 230, G: 160, B: 0, A: 255},
}

// Plot writes the goodput within target over time, one plot for each rank. The
// extension of path selects SVG or PNG.
func (r *Report) Plot(path string) error {
	plots := make([]*plot.Plot, len(ranks()))
	for i := range plots {
		p, err := r.rankPlot(i)
		if err != nil {
			return err
		}
		plots[i] = p
	}
	data, err := render(plots, filepath.Ext(path))
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o644)
}

func (r *Report) rankPlot(index int) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, rank %d (%s)", r.Experiment, index+1, r.Variants[0].Ranks[index].Service)
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = "requests/s within target"
	p.Legend.Top = true
	for i, v := range r.Variants {
		line, err := plotter.NewLine(points(v.Ranks[index].Goodput))
		if err != nil {
			return nil, err
		}
		line.Color = variantColors[i%len(variantColors)]
		p.Add(line)
		p.Legend.Add(v.Name, line)
	}
	p.Y.Min = 0
	return p, nil
}

func points(rates []float64) plotter.XYs {
	xys := make(plotter.XYs, len(rates))
	for i, rate := range rates {
		xys[i].X = float64(i) * model.BinWidth.Seconds()
		xys[i].Y = rate
	}
	return xys
}

func render(plots []*plot.Plot, extension string) ([]byte, error) {
	width := plotWidth * vg.Length(len(plots))
	var buffer bytes.Buffer
	switch extension {
	case ".svg":
		c := vgsvg.New(width, plotHeight)
		drawAll(plots, draw.New(c))
		_, err := c.WriteTo(&buffer)
		return buffer.Bytes(), err
	case ".png":
		c := vgimg.PngCanvas{Canvas: vgimg.New(width, plotHeight)}
		drawAll(plots, draw.New(c))
		_, err := c.WriteTo(&buffer)
		return buffer.Bytes(), err
	}
	return nil, fmt.Errorf("plot: file extension %q: want .svg or .png", extension)
}

func drawAll(plots []*plot.Plot, c draw.Canvas) {
	tiles := draw.Tiles{Rows: 1, Cols: len(plots)}
	for i, p := range plots {
		p.Draw(tiles.At(c, i, 0))
	}
}
