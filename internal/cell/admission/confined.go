package admission

import (
	"cmp"
	"slices"
	"time"
)

// ConfinedWork is waiting work ahead of a job that uses at most a part of the job's workers at a
// time: few of them may run it, or few of its tasks fit on them. Whatever its backlog, the other
// cores are left to the job.
type ConfinedWork struct {
	Cores    float64 // of the job's workers that it uses at the most
	Work     float64 // core-seconds that wait for these
	Arriving float64 // expected number of cores that newly arriving work of the kind occupies
}

// drainTime returns the time in which the work that uses any core is done by the given rate of
// cores while the confined work uses its own part of them. At least minRate is left for it.
func drainTime(work, rate, minRate float64, confined []ConfinedWork) time.Duration {
	type backlog struct{ cores, work, drained float64 }
	backlogs := make([]backlog, 0, len(confined))
	used := 0.0
	for _, c := range confined {
		rate -= min(c.Arriving, c.Cores)
		if cores := max(c.Cores-c.Arriving, minCapacityRatio*c.Cores); cores > 0 && c.Work > 0 {
			backlogs = append(backlogs, backlog{cores, c.Work, c.Work / cores})
			used += cores
		}
	}
	rate = max(rate, minRate)
	// The confined work that is done first leaves its cores to the other.
	slices.SortFunc(backlogs, func(a, b backlog) int { return cmp.Compare(a.drained, b.drained) })
	for _, b := range backlogs {
		if left := rate - used; left > 0 && work <= left*b.drained {
			return seconds(work / left)
		}
		work += b.work
		used -= b.cores
	}
	return seconds(work / rate)
}
