package ordering

// TeamUse is what a team runs and what it is entitled to.
type TeamUse struct {
	Weight  float64 // zero for a team without a share
	Cores   float64 // of its running tasks
	Waiting bool    // more of its tasks wait and could run
}

// shareTolerance is the part of the fleet by which teams may differ from their shares.
const shareTolerance = 0.1

// Yielding reports for each team whether its waiting steps yield to those of teams below
// their shares. A team's share is the part of the cores in use that corresponds to its
// weight among the teams that run or wait for something. A team yields if it is above its
// share and a waiting team is lower, relative to their shares, by more than shareTolerance
// of the fleet. That splits the teams into two groups, so the order of steps stays transitive.
func Yielding(teams []TeamUse, fleetCores float64) []bool {
	out := make([]bool, len(teams))
	weights, used := 0.0, 0.0
	for _, t := range teams {
		if t.Weight > 0 && (t.Waiting || t.Cores > 0) {
			weights += t.Weight
			used += t.Cores
		}
	}
	if weights <= 0 || fleetCores <= 0 {
		return out
	}
	excess := func(t TeamUse) float64 { return t.Cores - used*t.Weight/weights }
	lowest := 0.0
	for _, t := range teams {
		if t.Weight > 0 && t.Waiting {
			lowest = min(lowest, excess(t))
		}
	}
	for i, t := range teams {
		if t.Weight > 0 && lowest < 0 {
			x := excess(t)
			out[i] = x > 0 && x-lowest > shareTolerance*fleetCores
		}
	}
	return out
}
