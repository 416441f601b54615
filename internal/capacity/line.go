// Package capacity works out what a cell of a given size costs its instances,
// from slopes that the package's benchmarks measure. docs/CAPACITY.md shows the
// result.
package capacity

// Line is a cost measured at two sizes or more. Between and beyond them it is
// taken as a straight line.
type Line struct {
	Unit   string    `toml:"unit"` // of Values
	Per    string    `toml:"per"`  // what Sizes counts
	Sizes  []float64 `toml:"sizes"`
	Values []float64 `toml:"values"`
}

// Each returns the least-squares slope: the cost of one more unit. It is 0 for
// a line with fewer than two sizes.
func (l Line) Each() float64 {
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

// Fixed returns the cost at size 0, at least 0.
func (l Line) Fixed() float64 {
	return max(mean(l.Values)-l.Each()*mean(l.Sizes), 0)
}

// At returns the cost at size x.
func (l Line) At(x float64) float64 { return l.Fixed() + l.Each()*x }

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
