package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/job"
)

// The ticket was given after a restart that the leader doesn't know of, so it is valid in the incarnation after the one that the run names.
func TestTaskWithATicketRunsElsewhereWhileTheIncarnationAfterTheOneOfItsRunHasIt(t *testing.T) {
	for _, c := range []struct {
		name      string
		listDelay time.Duration // until the directory tells of the restart
		cut       time.Duration // after the takeover until the next leader doesn't reach the worker
	}{
		{"worker never reached, restart not listed", time.Minute, 0},
		{"worker never reached, restart listed", 400 * time.Millisecond, 0},
		{"worker cut off before its report arrives", time.Minute, 20 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 4, 1)
			n := w.useNetwork(1)
			n.restartsKeepID = true
			w.run(longestLateLease)
			w.isGood = func(_ job.StepRef, id string) bool { return id == "w00" }
			n.restart("w00", 0, c.listDelay)
			task := taskName(w.submit("advised", "a", tasks(1, 1000, 30*time.Second)), 0, 0)
			for end := w.now.Add(3 * time.Second); w.now.Before(end) && w.tasks[task] == nil; {
				w.run(simTick)
			}
			require.NotNil(t, w.tasks[task])
			require.Contains(t, w.tasks[task].runs, "w00")
			w.isGood = nil
			w.startLeader()
			w.run(c.cut)
			n.links["w00"].lostRatio = 1
			w.run(20 * time.Second)
		})
	}
}
