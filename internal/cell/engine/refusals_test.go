package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pollenbend/internal/cell/policy"
)

// Each refused job is counted once, with a label that does not change with the wording of the
// answer.
func TestRefusedJobsAreCountedByReason(t *testing.T) {
	w := newContendedWorld(t, 2, true, contendedPolicy(false, policy.Team{Name: "a", Weight: 1}, policy.Team{Name: "capped", Limit: cpuLimit(5)}))
	counts := make(map[string]int)
	w.engine.cfg.CountRefused = func(reason string) { counts[reason]++ }
	w.submit("none", "a", urgentTasks)
	w.submit("urgent", "capped", tasks(1, 6000, time.Second))
	w.run(simConfig().MaxLease)
	w.submit("urgent", "capped", tasks(1, 6000, time.Second))
	w.submit("batch", "capped", tasks(1, 5000, 10*time.Second))
	w.run(time.Second)
	w.submit("urgent", "capped", tasks(1, 5000, time.Second))
	for range 10 {
		w.submit("urgent", "a", urgentTasks)
	}
	for id := range w.specs {
		if w.refused[id] {
			counts["all"]++
		}
	}
	assert.Equal(t, counts["all"], counts["no_queue"]+counts["never_fits"]+counts["team_limit"]+counts["entitlement"])
	assert.Equal(t, 1, counts["no_queue"])
	assert.Equal(t, 1, counts["never_fits"])
	assert.Positive(t, counts["team_limit"])
	assert.Positive(t, counts["entitlement"])
}
