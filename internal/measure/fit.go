package measure

// Line is a straight line fitted to measured points.
type Line struct {
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }

// FitLine returns the least-squares line through the points. With fewer than two
// different x values the line is horizontal.
func FitLine(x, y []float64) Line {
	n := float64(len(x))
	if n == 0 {
		return Line{}
	}
	var sumX, sumY, sumXX, sumXY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
		sumXX += x[i] * x[i]
		sumXY += x[i] * y[i]
	}
	denominator := n*sumXX - sumX*sumX
	if denominator == 0 {
		return Line{Base: sumY / n}
	}
	slope := (n*sumXY - sumX*sumY) / denominator
	return Line{Base: (sumY - slope*sumX) / n, Slope: slope}
}
