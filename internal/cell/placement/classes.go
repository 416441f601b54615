package placement

import (
	"math"
	"sort"
)

// Classes divides workers by their speed. A worker's slowness is an estimate with an error of
// about a tenth, so fixed ranges would put equally fast workers into different ones and
// spread small tasks over more workers. The classes are therefore separated where few
// workers are. The zero value has one class of ordinary speed.
type Classes struct {
	bounds   []float64 // slowness between a class and the next slower one
	slowness []float64 // median of each class
}

const (
	// binWidth is the width of the bins of the logarithm of the slowness, lowestBin and
	// binCount their range, which includes the bounds of a slowness, 0.25 and 8.
	binWidth  = 0.02
	lowestBin = -70
	binCount  = 176
	// kernelWidth is the standard deviation, in bins, of the kernel that smooths the
	// distribution. Two workers within slownessBucket of each other have a common peak.
	kernelWidth = 3.5
	// maxValleyRatio is the density between two classes, as a part of that of the less dense
	// one, up to which they are separate.
	maxValleyRatio = 0.8
	// maxClassWidth is the largest logarithm of the ratio of a class's 0.95 quantile to its 0.05
	// quantile. The estimates of equally fast workers spread by 0.33. A wider class is divided.
	maxClassWidth = 0.47
	// maxClasses bounds the number of classes. Beyond it the slowest ones are one.
	maxClasses = 8
)

// NewClasses returns the classes of workers of the given slowness.
func NewClasses(slowness []float64) Classes {
	if len(slowness) == 0 {
		return Classes{}
	}
	counts := make([]float64, binCount)
	for _, s := range slowness {
		counts[binOf(s)]++
	}
	var ends []int // first bin after each class
	start := 0
	for _, end := range append(valleys(smooth(counts)), binCount) {
		ends = append(ends, divide(counts, start, end)...)
		start = end
	}
	if len(ends) > maxClasses {
		ends = append(ends[:maxClasses-1], binCount)
	}
	var c Classes
	start = 0
	for _, end := range ends {
		c.slowness = append(c.slowness, slownessAt(quantile(counts, start, end, 0.5)))
		if end < binCount {
			c.bounds = append(c.bounds, math.Exp((float64(end+lowestBin)-0.5)*binWidth))
		}
		start = end
	}
	return c
}

// Count returns the number of classes.
func (c Classes) Count() int { return len(c.bounds) + 1 }

// ClassOf returns the class of a worker. Class 0 is the fastest.
func (c Classes) ClassOf(slowness float64) int {
	return sort.Search(len(c.bounds), func(i int) bool { return slowness < c.bounds[i] })
}

// Slowness returns the typical slowness of the workers of a class.
func (c Classes) Slowness(class int) float64 {
	if class >= len(c.slowness) {
		return 1
	}
	return c.slowness[class]
}

// binOf returns the bin of a slowness.
func binOf(slowness float64) int {
	bin := int(math.Round(math.Log(max(slowness, 1e-3))/binWidth)) - lowestBin
	return min(binCount-1, max(0, bin))
}

// slownessAt returns the slowness in the middle of a bin.
func slownessAt(bin int) float64 { return math.Exp(float64(bin+lowestBin) * binWidth) }

// smooth returns the density of the distribution with the given counts.
func smooth(counts []float64) []float64 {
	const radius = int(4 * kernelWidth)
	density := make([]float64, len(counts))
	for i, n := range counts {
		if n == 0 {
			continue
		}
		for j := max(0, i-radius); j <= min(len(counts)-1, i+radius); j++ {
			x := float64(j-i) / kernelWidth
			density[j] += n * math.Exp(-x*x/2)
		}
	}
	return density
}

// valleys returns the bins at which a density has its minimum between two peaks.
func valleys(density []float64) []int {
	var found []int
	high, low := 0.0, 0.0 // the peak of the present class, and the lowest density after it
	first, last := 0, 0   // where low is
	for i, d := range density {
		switch {
		case d > high && low > maxValleyRatio*high || high == 0:
			high, low, first, last = d, d, i, i
		case d < low:
			low, first, last = d, i, i
		case d == low:
			last = i
		case low <= maxValleyRatio*min(high, d):
			found = append(found, (first+last+1)/2)
			high, low, first, last = d, d, i, i
		}
	}
	return found
}

// divide returns the ends of the parts into which the class of the bins from start to end is
// divided if it is too wide.
func divide(counts []float64, start, end int) []int {
	from, to := quantile(counts, start, end, 0.05), quantile(counts, start, end, 0.95)
	parts := int(math.Ceil(float64(to-from) * binWidth / maxClassWidth))
	var ends []int
	for n := 1; n < parts; n++ {
		ends = append(ends, from+(to-from)*n/parts+1)
	}
	return append(ends, end)
}

// quantile returns the bin of a quantile of the counts from start to end.
func quantile(counts []float64, start, end int, p float64) int {
	total := 0.0
	for _, n := range counts[start:end] {
		total += n
	}
	sum := 0.0
	for i := start; i < end; i++ {
		if sum += counts[i]; counts[i] > 0 && sum >= p*total {
			return i
		}
	}
	return end - 1
}
