package engine

import (
	"sort"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/record"
)

// Restored is what the store keeps of a cell.
type Restored struct {
	Jobs  map[string]*record.Job
	Steps map[job.StepRef]*record.Step
}

// Restore takes in what an earlier leader stored. It is called once, before any
// event.
func (e *Engine) Restore(from Restored) {
	ids := make([]string, 0, len(from.Jobs))
	for id := range from.Jobs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(a, b int) bool {
		x, y := from.Jobs[ids[a]], from.Jobs[ids[b]]
		if x.Accepted != y.Accepted {
			return x.Accepted < y.Accepted
		}
		return ids[a] < ids[b]
	})
	wall := e.wall()
	for _, id := range ids {
		e.restoreJob(id, from.Jobs[id], wall, from.Steps)
	}
	sort.SliceStable(e.ended, func(a, b int) bool { return e.ended[a].ended < e.ended[b].ended })
	e.log.Info("state restored", "jobs", len(from.Jobs), "steps", len(from.Steps), "open_steps", len(e.open), "workers", len(e.order))
}

func (e *Engine) restoreJob(id string, rec *record.Job, wall int64, steps map[job.StepRef]*record.Step) {
	if rec.Spec == nil {
		j := &jobState{id: id, team: rec.Team, queue: rec.Queue, accepted: rec.Accepted, ended: rec.Ended,
			state: rec.State, shown: rec.State, stored: true, begun: true, compacted: true}
		e.jobs[id] = j
		e.ended = append(e.ended, j)
		return
	}
	j := newJob(rec.Spec, rec.Accepted)
	j.stored = true
	j.arrived = e.now.Add(-time.Duration(max(0, wall-rec.Accepted)) * time.Millisecond)
	e.jobs[id] = j
	for k := range j.occ {
		for i := range j.spec.Steps {
			ref := job.StepRef{Job: id, Occurrence: k, Step: i}
			if kept := steps[ref]; kept != nil {
				e.restoreStep(j.occurrenceAt(k).steps[i], kept)
			}
		}
		if o := j.occ[k]; o != nil && o.left == 0 {
			j.left--
		}
	}
	if rec.State.Final() {
		e.restoreEnded(j, rec)
		return
	}
	if j.left == 0 {
		e.finish(j, record.Completed)
		return
	}
	e.add(j)
	for _, o := range j.occ {
		if o != nil && o.left > 0 {
			e.openSteps(o)
		}
	}
}

// restoreEnded takes in a job that is over and of which runs may be left.
func (e *Engine) restoreEnded(j *jobState, rec *record.Job) {
	j.state, j.shown, j.ended, j.begun = rec.State, rec.State, rec.Ended, true
	e.ended = append(e.ended, j)
	j.eachStep(func(s *stepRun) {
		for _, t := range s.tasks {
			for _, r := range t.runs {
				e.stop(r, "the job is over")
			}
		}
	})
	e.compact(j)
}

func (e *Engine) restoreStep(s *stepRun, rec *record.Step) {
	for i := range min(len(s.tasks), len(rec.Tasks)) {
		t, kept := s.tasks[i], &rec.Tasks[i]
		t.number, t.failures, t.checkpoint = kept.Run, kept.Failures, kept.Checkpoint
		s.gangRun = max(s.gangRun, kept.Run)
		if kept.Run > 0 {
			s.job().begun = true
		}
		if kept.Done {
			t.done = true
			s.left--
			s.waiting--
		}
		if kept.Worker != "" {
			e.restoreRun(t, kept)
		}
		if c, ok := rec.Copies[i]; ok && c.Worker != "" {
			e.restoreRun(t, &c)
			t.number = max(t.number, c.Run)
		}
	}
	e.restoreAdvice(s, rec)
	if s.left == 0 {
		s.occ.left--
	}
}

// restoreAdvice takes over what the adviser has told an earlier leader. The tickets
// are gone with it.
func (e *Engine) restoreAdvice(s *stepRun, rec *record.Step) {
	if len(rec.Asked) == 0 {
		return
	}
	asked := rec.Asked.Set()
	for _, w := range e.order {
		if asked(w.id) {
			s.adviceSoFar().asked[w.id] = w.life
		}
	}
	for _, g := range rec.Good {
		s.known(g.Worker, ticket{life: g.Life})
	}
}

func (e *Engine) restoreRun(t *task, kept *record.Task) {
	w := e.workers[kept.Worker]
	if w == nil {
		w = newWorker(kept.Worker)
		w.life = kept.Life
		w.unlisted = e.now
		e.workers[w.id] = w
		e.order = append(e.order, w)
	}
	if !t.live() && !t.done {
		t.step.waiting--
	}
	r := &run{task: t, worker: w, life: kept.Life, number: kept.Run, charge: t.step.charge, phase: planned, restored: true, sent: true}
	t.runs = append(t.runs, r)
	e.reserve(r)
}
