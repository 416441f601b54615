package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/record"
)

// failTogether ends n members of the present run of a job's gang as failed, each worker's in one
// report, and the others as broken by that.
func (w *world) failTogether(id string, n int) {
	type member struct {
		worker *simWorker
		run    *simRun
	}
	var members []member
	for _, worker := range w.ids {
		s := w.workers[worker]
		for _, name := range sortedKeys(s.runs) {
			if s.runs[name].gang != nil && name[:len(id)] == id {
				members = append(members, member{s, s.runs[name]})
			}
		}
	}
	require.GreaterOrEqual(w.t, len(members), n)
	waiting := make(map[*simWorker][]func())
	for i, m := range members {
		waiting[m.worker] = append(waiting[m.worker], m.worker.pendingAnswers...)
		m.worker.pendingAnswers = nil
		reason := EndedFailed
		if i >= n {
			reason = EndedGangBroken
		}
		m.run.gang = nil
		w.endRun(m.worker, m.run, reason)
	}
	for _, worker := range w.ids {
		for _, answer := range waiting[w.workers[worker]] {
			answer()
		}
	}
}

// gangWorld returns a world of the given number of workers, and a job with a gang of four that may fail twice
// and has started.
func gangWorld(t *testing.T, workers int) (w *world, id string) {
	return wideGangWorld(t, workers, 2000)
}

// wideGangWorld is gangWorld with members that need the given CPU, in thousandths of a core.
func wideGangWorld(t *testing.T, workers int, cpu int64) (w *world, id string) {
	w = newWorld(t, workers, 1)
	for _, s := range w.workers {
		s.capacity.CPU = 32_000 / int64(workers)
	}
	w.publishDirectory()
	w.run(time.Second)
	id = w.submit("urgent", "a", gang(4, cpu, time.Minute))
	w.run(time.Second)
	require.Equal(t, 4, w.starts)
	return w, id
}

// Issue 54: each of several members that end as failed in one run of a gang counted as an attempt, so the
// job was shown as failed although it had attempts left.
func TestGangRunThatSeveralMembersFailCountsOnce(t *testing.T) {
	for _, workers := range []int{1, 2, 4} {
		for failing := 1; failing <= 4; failing++ {
			t.Run(fmt.Sprintf("%d of 4 on %d workers", failing, workers), func(t *testing.T) {
				w, id := gangWorld(t, workers)
				w.failTogether(id, failing)
				w.run(10 * time.Second)
				require.Equal(t, StateRunning, w.state(id))
				require.Equal(t, 8, w.starts, "the second run")
				w.failTogether(id, failing)
				w.run(time.Second)
				assert.Equal(t, StateFailed, w.state(id), "the second run counts too")
				assert.Equal(t, 8, w.starts)
			})
		}
	}
}

// Issue 57: both members on one worker end as failed in one report, and the job may fail twice.
func TestGangOfTwoThatFailsInOneReportGoesOn(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(time.Second)
	id := w.submit("urgent", "a", gang(2, 2000, time.Minute))
	w.run(time.Second)
	require.Equal(t, 2, w.starts)
	w.failTogether(id, 2)
	w.run(10 * time.Second)
	assert.Equal(t, StateRunning, w.state(id))
	assert.Equal(t, 4, w.starts, "the second run")
}

// The members of one run end as failed before and after a change of the leader, whether the first ends
// are stored or not. The run counts once, and is not forgotten.
func TestGangRunCountsOnceOverAChangeOfLeader(t *testing.T) {
	for name, stored := range map[string]bool{"first ends stored": true, "first ends not stored": false} {
		t.Run(name, func(t *testing.T) {
			w, id := gangWorld(t, 4)
			for round := range 2 {
				// Only the first two workers reach this leader, and only two members fail there.
				for _, worker := range w.ids[2:] {
					w.workers[worker].unreachable = true
				}
				w.run(50 * time.Millisecond)
				w.storeHangs = !stored
				w.failTogether(id, 4)
				w.run(300 * time.Millisecond)
				for _, worker := range w.ids[2:] {
					w.workers[worker].unreachable = false
				}
				w.storeHangs = false
				w.startLeader()
				w.run(10 * time.Second)
				if round == 0 {
					require.Equal(t, StateRunning, w.state(id))
					require.Equal(t, 8, w.starts, "the second run")
				}
			}
			assert.Equal(t, StateFailed, w.state(id), "the second run counts too")
			assert.Equal(t, 8, w.starts)
		})
	}
}

// Members that don't fit on one worker fail in one run: the first leader sees the ends on some workers and has them
// stored, the next one those on the others.
func TestGangRunWhoseEndsTwoLeadersSeeCountsOnce(t *testing.T) {
	for seen := 1; seen <= 3; seen++ {
		t.Run(fmt.Sprintf("%d of 4 ends seen by the first leader", seen), func(t *testing.T) {
			w, id := wideGangWorld(t, 4, 5000)
			for run := 1; run <= 2; run++ {
				for _, worker := range w.ids[seen:] {
					w.workers[worker].unreachable = true
				}
				w.failTogether(id, 4)
				w.run(300 * time.Millisecond)
				require.Equal(t, run, w.engine.jobs[id].occurrences[0].steps[0].tasks[0].failures, "seen by the first leader")
				if run == 2 {
					break
				}
				for _, worker := range w.ids[seen:] {
					w.workers[worker].unreachable = false
				}
				w.startLeader()
				w.run(10 * time.Second)
				require.Equal(t, StateRunning, w.state(id))
				require.Equal(t, 8, w.starts, "the second run")
			}
			assert.Equal(t, StateFailed, w.state(id), "the second run counts too")
			assert.Equal(t, 8, w.starts)
		})
	}
}

// A run of a gang that ended while its worker was away counts when it is listed, though the gang has another
// run by then.
func TestFailuresOfAReplacedGangRunCountOnce(t *testing.T) {
	w, id := gangWorld(t, 4)
	s := w.engine.jobs[id].occurrences[0].steps[0]
	for _, m := range s.tasks {
		for _, r := range m.runs {
			m.lastEnd = lastEnd{run: r.number, reason: EndedStopped}
		}
	}
	end := func(index int, number int) {
		w.engine.applyEnd(w.engine.workers[w.ids[index]], s.tasks[index].ref, &RunEnd{Number: int64(number), Task: s.tasks[index].name, Run: s.lastGangRun, Reason: EndedFailed})
	}
	for _, m := range s.tasks {
		m.runs = nil // given up
	}
	for index := range 4 {
		end(index, 1)
	}
	assert.Equal(t, 1, s.tasks[0].failures)
	assert.Equal(t, 1, s.tasks[3].failures)
}

// Each member that failed counted for the quarantine of its worker, from the second run of the gang there on.
func TestWorkerIsNotQuarantinedForTwoFailedRunsOfAGang(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(time.Second)
	id := w.submit("gangs", "a", gang(4, 2000, time.Minute))
	w.run(time.Second)
	for run := 1; run <= 2; run++ {
		require.Equal(t, 4*run, w.starts)
		w.failTogether(id, 4)
		w.run(time.Second)
		assert.Equal(t, run, w.engine.workers[w.ids[0]].health.failures)
	}
	assert.Equal(t, 12, w.starts, "the third run")
}

// changeFirstSegment changes the stored record of the first segment of a job's first step.
func (w *world) changeFirstSegment(id string, change func(s *record.Step)) {
	key, rec := record.StepKey(job.StepRef{Job: id}, 0), new(record.Step)
	w.must(record.Decode(w.stored[key], rec))
	change(rec)
	w.stored[key] = record.Encode(rec)
}

// An earlier version counted each failed member and stored no numbers, so the next end of the same run counted too.
func TestGangRunThatAnEarlierVersionCountedCountsOnce(t *testing.T) {
	w := newWorld(t, 4, 1)
	w.run(time.Second)
	id := w.submit("gangs", "a", gang(4, 5000, time.Minute))
	w.run(time.Second)
	for _, worker := range w.ids[2:] {
		w.workers[worker].unreachable = true
	}
	w.failTogether(id, 4)
	w.run(300 * time.Millisecond)
	w.changeFirstSegment(id, func(s *record.Step) {
		s.FailedGangRuns = nil
		for i := range s.Tasks {
			s.Tasks[i].Failures = 2
		}
	})
	for _, worker := range w.ids[2:] {
		w.workers[worker].unreachable = false
	}
	w.startLeader()
	w.run(10 * time.Second)
	assert.Equal(t, StateRunning, w.state(id))
	assert.Equal(t, 1, w.engine.jobs[id].occurrences[0].steps[0].tasks[0].failures)
}

// The leader ended while it stored the failure of a run, and only the second segment has it.
func TestGangRunThatIsStoredInPartCountsOnce(t *testing.T) {
	w := newWorld(t, 4, 1)
	w.run(time.Second)
	id := w.submit("urgent", "a", gang(300, 80, time.Minute))
	w.run(time.Second)
	require.Equal(t, 300, w.starts)
	first := record.StepKey(job.StepRef{Job: id}, 0)
	before := w.stored[first]
	last := sortedKeys(w.tasks[taskName(id, 0, 299)].runs)[0]
	for _, worker := range w.ids {
		w.workers[worker].unreachable = worker != last
	}
	w.failTogether(id, 300)
	w.run(300 * time.Millisecond)
	require.Equal(t, 1, w.engine.jobs[id].occurrences[0].steps[0].tasks[0].failures)
	w.stored[first] = before
	for _, worker := range w.ids {
		w.workers[worker].unreachable = false
	}
	w.startLeader()
	w.run(10 * time.Second)
	assert.Equal(t, StateRunning, w.state(id))
	for _, m := range w.engine.jobs[id].occurrences[0].steps[0].tasks {
		require.Equal(t, 1, m.failures, m.name)
	}
}

// The numbers can't be told from the count: the run after the one that failed has ended too, and did not fail.
func TestNumbersOfFailedGangRunsAreRestored(t *testing.T) {
	w, id := gangWorld(t, 1)
	w.changeFirstSegment(id, func(s *record.Step) {
		s.FailedGangRuns = []int{1}
		for i := range s.Tasks {
			s.Tasks[i] = record.Task{Run: 2, Failures: 1}
		}
	})
	w.startLeader()
	assert.Equal(t, []int{1}, w.engine.jobs[id].occurrences[0].steps[0].failedGangRuns)
}
