package engine

import "testing"

// Each schedule failed once, for the cause given.
func TestSchedulesThatFailed(t *testing.T) {
	for _, c := range []struct {
		name      string
		seed      uint64
		keptIDs   bool
		untold    bool
		crashes   bool
		cuts      bool
		recuts    bool
		takeovers bool
		isolated  bool
	}{
		{name: "a refused repeat of a start ended a run that went on", seed: 163},
		{name: "a lease of an earlier incarnation was never over", seed: 123},
		{name: "the success of an unknown run did not count", seed: 109},
		{name: "members of a gang got other checkpoints", seed: 238},
		{name: "a start under way brought a restarted worker over its capacity", seed: 122, keptIDs: true},
		{name: "a task started elsewhere while its start was under way to a restarted worker", seed: 102, keptIDs: true},
		{name: "a start that was accepted while its run was being stopped was taken as one of the earlier incarnation", seed: 401594, keptIDs: true, untold: true},
		{name: "the same, with the restart seen in a report", seed: 400702, keptIDs: true, untold: true},
		{name: "a lease was never over as the clock came from an incarnation that was not told", seed: 404088, keptIDs: true, untold: true},
		{name: "a stop that was refused for an earlier incarnation counted for the next one, which got no work any more", seed: 700786},
		{name: "a start reached the next incarnation after its run was given up for the lease of the earlier one", seed: 701739, keptIDs: true, untold: true},
		{name: "a task that crashes its workers was started three times more", seed: 1001484, crashes: true},
		{name: "suspects that crash their workers waited for each other in a small fleet", seed: 1000094, crashes: true},
		{name: "the same, with two workers that may be exposed", seed: 1002586, crashes: true},
		{name: "a crash with others of its rack blamed a task", seed: 1000271, crashes: true},
		{name: "a late start was carried out after a restart and the success of its run", seed: 5332, keptIDs: true},
		{name: "a late start was carried out after a restart while another run went on", seed: 5243, keptIDs: true},
		{name: "a late start was carried out after a restart above the limit of the team", seed: 5259, keptIDs: true},
		{name: "a late start was carried out after a restart above the capacity of the worker", seed: 5011, keptIDs: true, untold: true},
		{name: "workers that were cut off and restarted there failed an innocent job", seed: 100226, keptIDs: true, untold: true, cuts: true},
		{name: "a rack that failed while an answer was under way blamed a task", seed: 100639, crashes: true},
		{name: "a late start of an earlier incarnation was refused and extended the lease of the next one", seed: 702660, keptIDs: true, untold: true, crashes: true, cuts: true},
		{name: "a run whose end was beyond the report counted as missing", seed: 297},
		{name: "a renewal meant for an earlier incarnation acknowledged an end that nobody had seen", seed: 154, keptIDs: true, untold: true, recuts: true},
		{name: "the same, of an earlier leader", seed: 152, keptIDs: true, untold: true, takeovers: true},
		{name: "a run was given up that a restarted worker had begun with a ticket of that incarnation", seed: 344, keptIDs: true, untold: true, recuts: true, takeovers: true, isolated: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runRandomRefusals(t, c.seed, refusalOptions{restartsKeepID: c.keptIDs, untold: c.untold, crashes: c.crashes, cuts: c.cuts, recuts: c.recuts, takeovers: c.takeovers, isolated: c.isolated})
		})
	}
}
