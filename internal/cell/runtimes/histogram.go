package runtimes

import (
	"math"
	"time"
)

const (
	// A histogram has bins of binWidth from -histogramEdge to histogramEdge on a
	// logarithmic scale, that is of ten percent from 1/121 to 121.
	binWidth      = 0.1
	binCount      = 96
	histogramEdge = binWidth * binCount / 2

	// halfLifeRuns and halfLife are the number of samples and the time after which a
	// sample has half of its weight.
	halfLifeRuns = 2000
	halfLife     = 5 * time.Minute
	// minAgedSamples is the number of samples from which on time alone takes no weight, so
	// that a queue that was idle for hours is not unknown. New samples soon outweigh them.
	minAgedSamples = 50
	// maxGain bounds the weight of a sample, which grows instead of that of the earlier
	// ones being reduced.
	maxGain = 1e6
	// seedSamples is the number of samples that the prior counts for, a normal
	// distribution around the estimate with the standard deviation seedSpread.
	seedSamples = 10
	seedSpread  = 0.5
	// statsInterval is the number of samples after which the statistics of a histogram are
	// computed anew, once it has more than statsAtOnce of them.
	statsInterval = 16
	statsAtOnce   = 64
)

// histogram is a distribution of logarithms of ratios, in which old samples lose weight.
// The zero value is the prior.
type histogram struct {
	bins  [binCount]float32
	sum   float64 // of bins
	gain  float64 // weight of the next sample; zero counts as 1
	fresh int     // samples since the statistics were computed

	known        bool // the statistics have been computed
	center, vari float64
	q16, q84     float64
	average      float64 // mean of the ratios, not of their logarithms
}

var (
	// seed holds the bins of the prior, and ratioOfBin the ratio at the center of a bin.
	seed, ratioOfBin [binCount]float64
	// unknown is the distribution of a queue without samples.
	unknown histogram
)

func init() {
	below := 0.0
	for i := range binCount {
		upper := (float64(i+1)*binWidth - histogramEdge) / seedSpread
		upTo := 0.5 * math.Erfc(-upper/math.Sqrt2)
		seed[i], below = seedSamples*(upTo-below), upTo
		ratioOfBin[i] = math.Exp((float64(i)+0.5)*binWidth - histogramEdge)
	}
	unknown.measure()
}

// binOf returns the index of the bin of x.
func binOf(x float64) int {
	return int(min(binCount-1, max(0, (x+histogramEdge)/binWidth)))
}

// weight returns the weight of the next sample.
func (h *histogram) weight() float64 {
	if h.gain == 0 {
		return 1
	}
	return h.gain
}

// samples returns the number of samples, reduced by the loss of weight.
func (h *histogram) samples() float64 { return h.sum / h.weight() }

// add adds a sample.
func (h *histogram) add(x float64) {
	w := h.weight()
	h.bins[binOf(x)] += float32(w)
	h.sum += w
	h.grow(w * math.Exp2(1.0/halfLifeRuns))
	h.fresh++
	if h.fresh >= statsInterval || h.sum < statsAtOnce*w {
		h.known = false
	}
}

// age takes weight from the samples for the time that has passed.
func (h *histogram) age(elapsed time.Duration) {
	if h.samples() > minAgedSamples {
		h.grow(h.weight() * math.Exp2(elapsed.Seconds()/halfLife.Seconds()))
	}
}

// grow sets the weight of the next sample.
func (h *histogram) grow(gain float64) {
	h.gain = gain
	if gain < maxGain {
		return
	}
	h.sum = 0
	for i := range h.bins {
		h.bins[i] /= float32(gain)
		h.sum += float64(h.bins[i])
	}
	h.gain = 1
}

// measure computes the statistics if samples were added since.
func (h *histogram) measure() {
	if h.known {
		return
	}
	h.known, h.fresh = true, 0
	h.center, h.q16, h.q84 = h.quantile(0.5), h.quantile(0.16), h.quantile(0.84)
	// The range between these quantiles leaves the tail out.
	sd := max(minSpread, (h.q84-h.q16)/2)
	h.vari = sd * sd
	total := 0.0
	for i := range h.bins {
		total += float64(h.bins[i]) * ratioOfBin[i]
	}
	w := h.weight()
	h.average = (total/w + seedSamples) / (h.samples() + seedSamples)
}

// minSpread is the least standard deviation that is assumed for a distribution.
const minSpread = 0.1

func (h *histogram) median() float64   { h.measure(); return h.center }
func (h *histogram) variance() float64 { h.measure(); return h.vari }
func (h *histogram) spread() float64   { h.measure(); return h.q84 - h.q16 }
func (h *histogram) mean() float64     { h.measure(); return h.average }

// total returns the weight of all samples and the prior.
func (h *histogram) total() float64 { return h.sum + seedSamples*h.weight() }

// quantile returns the value that a sample does not exceed with probability p.
func (h *histogram) quantile(p float64) float64 {
	w := h.weight()
	left := p * h.total()
	for i := range h.bins {
		mass := float64(h.bins[i]) + w*seed[i]
		if left <= mass {
			return (float64(i)+left/max(mass, math.SmallestNonzeroFloat64))*binWidth - histogramEdge
		}
		left -= mass
	}
	return histogramEdge
}

const (
	// A task that has worked for longer than nearly all others ends as if run times had the
	// tail of a Pareto distribution: what is left grows with the time worked. tailSamples
	// is the number of samples beyond the time worked that this counts for.
	tailExponent = 1.5
	tailSamples  = 1.0
)

// tailStep is the ratio by which the tail decreases within a bin.
var tailStep = math.Exp(-tailExponent * binWidth)

// quantileBeyond returns the value that a sample which exceeds from does not exceed with
// probability p.
func (h *histogram) quantileBeyond(from, p float64) float64 {
	if from < -histogramEdge {
		return h.quantile(p)
	}
	w := h.weight()
	position := (from + histogramEdge) / binWidth
	first := int(min(binCount, position))
	beyond := 0.0 // weight of the samples beyond from
	for i := first; i < binCount; i++ {
		mass := float64(h.bins[i]) + w*seed[i]
		if i == first {
			mass *= float64(i+1) - position
		}
		beyond += mass
	}
	tail := w * tailSamples
	target := (1 - p) * (beyond + tail)
	left, at := beyond+tail, from
	for i := first; i < binCount; i++ {
		mass, width := float64(h.bins[i])+w*seed[i], binWidth
		decrease := tailStep
		if i == first {
			part := float64(i+1) - position
			mass, width = mass*part, width*part
			decrease = math.Exp(-tailExponent * width)
		}
		next := left - mass - tail*(1-decrease)
		if next <= target {
			return at + width*(left-target)/max(left-next, math.SmallestNonzeroFloat64)
		}
		left, tail, at = next, tail*decrease, at+width
	}
	return at + math.Log(max(1, tail/max(target, math.SmallestNonzeroFloat64)))/tailExponent
}
