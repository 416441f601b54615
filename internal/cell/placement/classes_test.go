package placement

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fleet returns the slowness of n workers of each speed, known with the given error.
func fleet(n int, spread float64, speeds ...float64) []float64 {
	r := rand.New(rand.NewPCG(1, 1))
	var out []float64
	for _, s := range speeds {
		for range n {
			out = append(out, s*math.Exp(spread*r.NormFloat64()))
		}
	}
	return out
}

// Equally fast workers must share a class, and workers of different speeds must not.
func TestNewClasses(t *testing.T) {
	for _, c := range []struct {
		name     string
		slowness []float64
		want     []float64
	}{
		{"no workers", nil, []float64{1}},
		{"unknown slowness", fleet(300, 0, 1), []float64{1}},
		{"equal workers known with an error", fleet(350, 0.1, 1), []float64{1}},
		{"within a tenth", fleet(100, 0, 1, 1.1), []float64{1}},
		{"three speeds", fleet(100, 0, 0.625, 1, 1.667), []float64{0.625, 1, 1.667}},
		{"three speeds known with an error", fleet(117, 0.1, 0.625, 1, 1.667), []float64{0.625, 1, 1.667}},
		{"three speeds of 4,000 workers each", fleet(4000, 0.1, 0.625, 1, 1.667), []float64{0.625, 1, 1.667}},
		{"three speeds of two workers each", fleet(2, 0.03, 0.625, 1, 1.667), []float64{0.625, 1, 1.667}},
		{"a single slow worker", append(fleet(50, 0.03, 1), 4), []float64{1, 4}},
		{"beyond the bounds", fleet(5, 0, 0.01, 100), []float64{0.25, 8}},
	} {
		t.Run(c.name, func(t *testing.T) {
			classes := NewClasses(c.slowness)
			require.Equal(t, len(c.want), classes.Count())
			for i, want := range c.want {
				assert.InEpsilon(t, want, classes.Slowness(i), 0.05)
				assert.Equal(t, i, classes.ClassOf(want))
			}
		})
	}
}

// Speeds without gaps between them would otherwise be one class, in which fast workers are not
// found.
func TestClassesWithoutGapsAreDivided(t *testing.T) {
	var slowness []float64
	for s := 0.5; s < 2; s += 0.005 {
		slowness = append(slowness, s)
	}
	classes := NewClasses(slowness)
	assert.GreaterOrEqual(t, classes.Count(), 3)
	for i := 1; i < classes.Count(); i++ {
		assert.Greater(t, classes.Slowness(i), classes.Slowness(i-1)*(1+slownessBucket))
	}
}

// Workers that drift apart must not make an unbounded number of classes.
func TestClassesAreBounded(t *testing.T) {
	assert.LessOrEqual(t, NewClasses(fleet(1, 0, 0.25, 0.33, 0.43, 0.57, 0.75, 1, 1.3, 1.7, 2.3, 3, 4, 5.2, 6.8, 8)).Count(), maxClasses)
}
