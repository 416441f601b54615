package scenario

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	gangFirstSeed = 1001
	gangSeedCount = 17
)

// TestGangRandom guards against gangs that stay partly started. It submits gangs that
// compete for workers and kills an instance at a random moment of their start. Every
// gang must run as a whole or not at all, and all must end.
func TestGangRandom(t *testing.T) {
	t.Logf("seeds %d to %d", gangFirstSeed, gangFirstSeed+gangSeedCount-1)
	for i := range uint64(gangSeedCount) {
		t.Run(fmt.Sprint(gangFirstSeed+i), func(t *testing.T) {
			t.Parallel()
			checkGangs(t, gangFirstSeed+i)
		})
	}
}

func checkGangs(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, seed))
	lines := schedule{
		fmt.Sprintf("seed %d", seed), "instances 4", "workers 12 slots=4",
		"declare team=a", "declare team=b limit=40", "start",
	}
	for i := range 4 {
		lines = append(lines, fmt.Sprintf("gang id=g%d team=%c count=%d run=%ds via=entry-%d",
			i, 'a'+i%2, 25+rng.IntN(15), 3+rng.IntN(10), 1+rng.IntN(4)))
	}
	lines = append(lines, fmt.Sprintf("advance %dms", rng.IntN(400)), fmt.Sprintf("crash entry-%d", 1+rng.IntN(4)))
	lines = append(lines, "advance 15s")
	for range 150 {
		lines = append(lines, "advance 1s", "expect-whole g0", "expect-whole g1", "expect-whole g2", "expect-whole g3")
	}
	lines = append(lines, "revive", "advance 10s")
	for i := range 4 {
		lines = append(lines, fmt.Sprintf("again g%d via=entry-%d", i, 1+rng.IntN(4)), "advance 1s", fmt.Sprintf("status g%d", i))
	}
	lines = append(lines, "advance 150s")
	for i := range 4 {
		lines = append(lines, fmt.Sprintf("status g%d name=end%d", i, i), "advance 1s", fmt.Sprintf("expect end%d done", i))
	}
	require.NoError(t, lines.run(nil), "seed %d:\n%s", seed, lines)
}
