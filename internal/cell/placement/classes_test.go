package placement

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Equally fast workers must share a class, those of different speeds must not, and there is a bound.
func TestNewClasses(t *testing.T) {
	fleet := func(n int, spread float64, speeds ...float64) (out []float64) {
		r := rand.New(rand.NewPCG(1, 1))
		for _, s := range speeds {
			for range n {
				out = append(out, s*math.Exp(spread*r.NormFloat64()))
			}
		}
		return out
	}
	speeds, even := []float64{0.625, 1, 1.667}, []float64{}
	for s := 0.5; s < 2; s += 0.005 {
		even = append(even, s)
	}
	for name, c := range map[string]struct{ slowness, want []float64 }{
		"no workers":           {nil, []float64{1}},
		"unknown slowness":     {fleet(300, 0, 1), []float64{1}},
		"equal workers":        {fleet(350, 0.1, 1), []float64{1}},
		"within a tenth":       {fleet(100, 0, 1, 1.1), []float64{1}},
		"three speeds":         {fleet(117, 0.1, speeds...), speeds},
		"three speeds, large":  {fleet(4000, 0.1, speeds...), speeds},
		"three speeds, small":  {fleet(2, 0.03, speeds...), speeds},
		"a single slow worker": {append(fleet(50, 0.03, 1), 4), []float64{1, 4}},
		"beyond the bounds":    {fleet(5, 0, 0.01, 100), []float64{0.25, 8}},
		"without gaps":         {even, []float64{0.68, 1.08, 1.66}},
		"more than the bound":  {fleet(1, 0, 0.25, 0.35, 0.5, 0.7, 1, 1.4, 2, 2.8, 4, 5.6), []float64{0.25, 0.35, 0.5, 0.7, 1, 1.4, 2, 4}},
	} {
		classes := NewClasses(c.slowness)
		require.Equal(t, len(c.want), classes.Count(), "%s: %v", name, classes)
		for i, want := range c.want {
			assert.InEpsilon(t, want, classes.Slowness(i), 0.05, name)
			assert.Equal(t, i, classes.ClassOf(want), name)
		}
	}
}
