package engine

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// maxHeartbeat is the longest time for which an entry of another writer stays over that of a worker.
const maxHeartbeat = 1500 * time.Millisecond

// injectOddEntry has another writer write an entry that names another incarnation over that of a worker, with a
// probability of a sixth. The worker writes its own again within maxHeartbeat.
func (n *network) injectOddEntry(r *rand.Rand) {
	if r.IntN(6) > 0 {
		return
	}
	s := n.w.workers[n.w.ids[r.IntN(len(n.w.ids))]]
	s.entryIncarnation = []int64{math.MaxInt64, s.incarnation + 1, s.incarnation + 2 + r.Int64N(100), max(1, s.incarnation-1)}[r.IntN(4)]
	n.w.publishDirectory()
	n.w.after(upTo(r, maxHeartbeat), func() {
		s.entryIncarnation = 0
		if slices.Contains(n.w.ids, s.id) {
			n.w.publishDirectory()
		}
	})
}

// Another writer's entries over those of workers name other incarnations, while workers restart, are cut off, and
// leaders change.
func TestRandomRefusalsWithOddEntries(t *testing.T) {
	runRefusalSeeds(t, refusalOptions{restartsKeepID: true, untold: true, cuts: true, oddEntries: true})
}

// The same with new leaders that don't reach a worker.
func TestRandomRefusalsWithOddEntriesAndUnreachedWorkers(t *testing.T) {
	runRefusalSeeds(t, refusalOptions{restartsKeepID: true, untold: true, takeovers: true, oddEntries: true})
}
