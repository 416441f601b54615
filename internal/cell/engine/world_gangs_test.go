package engine

import (
	"math/rand/v2"
	"testing"
	"time"

	"pollenbend/internal/cell/job"
)

// injectGangFailure submits a gang whose members don't fit on one worker, with a probability of one in eight,
// and has some of them fail at once while it works, until the faults are cleared. The leader doesn't see the ends on some workers; before it does, the next
// one may take over, and these workers may restart or be cut off.
func (n *network) injectGangFailure(r *rand.Rand) {
	if r.IntN(8) > 0 {
		return
	}
	members := 2 + r.IntN(3)
	queues := []string{"urgent", "gangs"}
	if members == 2 {
		queues = append(queues, "advised") // the adviser may find no more than two workers good
	}
	id := n.w.submit(queues[r.IntN(len(queues))], "a", gang(members, 4500, time.Second+upTo(r, 8*time.Second)))
	for range 1 + r.IntN(2) {
		after, failing, hidden := upTo(r, 6*time.Second), 1+r.IntN(members), r.Float64()
		lasts := upTo(r, 2*time.Second)
		takeover, change := upTo(r, lasts+1), r.IntN(8)
		n.w.after(after, func() {
			if n.faultsCleared {
				return
			}
			for _, worker := range n.workersOf(id) {
				if r.Float64() < hidden {
					n.hideEnds(worker, lasts, change)
				}
			}
			n.failMembers(id, failing, r)
			if change < 5 {
				n.w.after(takeover, n.w.startLeader)
			}
		})
	}
}

// hideEnds keeps what a worker lists from the leader for a time. For some values of change it restarts under
// its id or refuses connections meanwhile.
func (n *network) hideEnds(worker string, lasts time.Duration, change int) {
	switch change {
	case 0:
		n.restart(worker, lasts, 0)
	case 1:
		n.cut(worker, lasts)
	default:
		n.links[worker].silentUntil = n.w.now.Add(lasts)
		n.endOpenCalls(worker)
	}
}

// workersOf returns the workers that run members of the gang of a job.
func (n *network) workersOf(id string) []string {
	var out []string
	for _, worker := range n.w.ids {
		for task := range n.w.workers[worker].runs {
			if n.memberOf(id, task) {
				out = append(out, worker)
				break
			}
		}
	}
	return out
}

func (n *network) memberOf(id, task string) bool { return len(task) > len(id) && task[:len(id)] == id }

// failMembers ends up to count members of the gang of a job as failed, each on its worker, and the others as
// broken by that.
func (n *network) failMembers(id string, count int, r *rand.Rand) {
	w := n.w
	for _, i := range r.Perm(w.specs[id].Steps[0].Count) {
		name := job.TaskRef{StepRef: job.StepRef{Job: id}, Index: i}.String()
		for _, worker := range w.ids {
			s := w.workers[worker]
			m := s.runs[name]
			if m == nil || m.gang == nil || m.gang.completeAt.IsZero() {
				continue
			}
			reason := EndedFailed
			if count--; count < 0 {
				reason = EndedGangBroken
			}
			delete(m.gang.members, name)
			m.gang = nil
			w.endRun(s, m, reason)
		}
	}
}

// checkFailures checks that each run of a task that failed counts once: no fewer than those whose ends are
// acknowledged, and no more than those that any worker has listed. A run of a gang counts as one.
func (c *taskRules) checkFailures(id string) {
	j := c.w.engine.jobs[id]
	if j == nil || j.state.Final() || j.spec == nil {
		return
	}
	for step := range j.spec.Steps {
		spec := &j.spec.Steps[step]
		if spec.LongRunning {
			continue
		}
		for i, t := range j.occurrenceAt(0).steps[step].tasks {
			acknowledged, listed := c.failures(id, step, i)
			if spec.Gang {
				acknowledged, listed = c.gangFailures(id, step)
			}
			if !t.done && (t.failures < acknowledged || t.failures > listed) {
				c.w.t.Errorf("%v: %s counts %d failed runs, but %d have failed, and the ends of %d are acknowledged",
					c.w.now.Sub(c.w.startTime), t.name, t.failures, listed, acknowledged)
			}
		}
	}
}

// failures returns how many runs of a task failed, and of how many of them the end is acknowledged.
func (c *taskRules) failures(id string, step, index int) (acknowledged, listed int) {
	for _, end := range c.history(taskName(id, step, index)).ends {
		if end.reason == EndedFailed {
			listed++
			if end.acknowledged {
				acknowledged++
			}
		}
	}
	return acknowledged, listed
}

// gangFailures is failures for the runs of a gang, of which some members failed.
func (c *taskRules) gangFailures(id string, step int) (acknowledged, listed int) {
	runs := make(map[int]bool)
	for i := range c.w.specs[id].Steps[step].Count {
		for _, end := range c.history(taskName(id, step, i)).ends {
			if end.reason == EndedFailed {
				runs[end.run] = runs[end.run] || end.acknowledged
			}
		}
	}
	for _, known := range runs {
		if known {
			acknowledged++
		}
	}
	return acknowledged, len(runs)
}

// Members of gangs fail at once on several workers. One leader sees some of the ends, and the next one the others,
// after restarts of workers and cuts too.
func TestRandomRefusalsWithFailingGangs(t *testing.T) {
	runRefusalSeeds(t, refusalOptions{gangFailures: true})
	runRefusalSeeds(t, refusalOptions{gangFailures: true, restartsKeepID: true, untold: true, cuts: true})
}
