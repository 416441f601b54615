package engine

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
)

// Three tasks in a hundred take seven times as long as the others of their step. Gangs that reserved by
// expected ends waited for such runs, and everything that was held for them with them. Without such
// tasks reservations stay on.
func TestReservationsAreOffWhileRunTimesHaveALongTail(t *testing.T) {
	for _, tail := range []bool{true, false} {
		w := newContendedWorld(t, 40, false, contendedPolicy(false, policy.Team{Name: "a"}))
		w.features = Features{LearnedRuntimes: true, Backfill: true}
		w.startLeader()
		random := rand.New(rand.NewPCG(1, 2))
		w.runtime = func(_ job.TaskRef, s *job.Step) time.Duration {
			took := time.Duration(float64(s.Estimate) * (0.8 + 0.4*random.Float64()))
			if tail && random.Float64() < 0.03 {
				took *= 7
			}
			return took
		}
		w.send(20*time.Second, traffic{queue: "batch", team: "a", rate: 2, step: tasks(20, 3500, time.Second)})
		ratio, known := w.engine.runtimes.TailRatio("batch")
		t.Logf("tail %v: ratio %.2f, known %v", tail, ratio, known)
		assert.Equal(t, !tail, w.engine.backfills(w.policy.Queue("gangs")))
	}
}
