// Package capacity calculates what a cell of a given size costs each instance in
// processor time, memory and bytes on the network. The model is based on slopes
// that the package's benchmarks measure. docs/CAPACITY.md shows the result.
package capacity

// Line is a cost measured at two sizes or more. The model fits a straight line to
// the values to interpolate and extrapolate.
type Line struct {
	Unit   string    `toml:"unit"` // of Values
	Per    string    `toml:"per"`  // what Sizes counts
	Sizes  []float64 `toml:"sizes"`
	Values []float64 `toml:"values"`
}

// Slope returns the least-squares slope, which is the cost of one more unit. It is
// 0 for a falling line or a line with fewer than two different sizes.
func (l Line) Slope() float64 {
	meanX, meanY := mean(l.Sizes), mean(l.Values)
	var covariance, variance float64
	for i, x := range l.Sizes {
		covariance += (x - meanX) * (l.Values[i] - meanY)
		variance += (x - meanX) * (x - meanX)
	}
	if variance == 0 {
		return 0
	}
	return max(covariance/variance, 0)
}

// Intercept returns the cost at size 0, at least 0.
func (l Line) Intercept() float64 {
	return max(mean(l.Values)-l.Slope()*mean(l.Sizes), 0)
}

// At returns the cost at size x.
func (l Line) At(x float64) float64 { return l.Intercept() + l.Slope()*x }

func mean(xs []float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	var sum float64
	for _, x := range xs {
		sum += x
	}
	return sum / float64(len(xs))
}
