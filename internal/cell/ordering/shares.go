package ordering

// TeamUse is what a team runs and what it is entitled to.
type TeamUse struct {
	Weight  float64 // zero for a team without a share
	Cores   float64 // of its running tasks
	Waiting bool    // more of its tasks wait and could run
}

// shareTolerance is the part of the fleet by which teams may differ from their shares.
const shareTolerance = 0.1

// Excess returns by how many cores each team is above its share, negative below it. A team's
// share is the part of the cores in use that corresponds to its weight among the teams that
// run or wait for something. The excess of a team without a share is zero.
func Excess(teams []TeamUse) []float64 {
	out := make([]float64, len(teams))
	weights, used := 0.0, 0.0
	for _, t := range teams {
		if t.Weight > 0 && (t.Waiting || t.Cores > 0) {
			weights += t.Weight
			used += t.Cores
		}
	}
	for i, t := range teams {
		if t.Weight > 0 && (t.Waiting || t.Cores > 0) {
			out[i] = t.Cores - used*t.Weight/weights
		}
	}
	return out
}

// Yielding reports for each team whether its waiting steps yield to those of teams below
// their shares. A team yields if it is above its share and a waiting team is lower, relative
// to their shares, by more than shareTolerance of the fleet. That splits the teams into two
// groups, so the order of steps stays transitive.
func Yielding(teams []TeamUse, fleetCores float64) []bool {
	out, excess, lowest := make([]bool, len(teams)), Excess(teams), 0.0
	for i, t := range teams {
		if t.Waiting {
			lowest = min(lowest, excess[i])
		}
	}
	for i, x := range excess {
		out[i] = lowest < 0 && x > 0 && x-lowest > shareTolerance*fleetCores
	}
	return out
}
