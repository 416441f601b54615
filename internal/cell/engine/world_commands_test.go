package engine

import (
	"fmt"
	"hash/fnv"
	"io"
	"slices"
	"strings"
	"time"

	"pollenbend/internal/cell/job"
)

// order carries an order to a worker. It may get no answer and be carried out late.
func (w *world) order(e *Engine, id string, timeout time.Duration, do func(*simWorker) any, unanswered any) {
	s := w.workers[id]
	if s.dark {
		w.to(e, timeout, unanswered)
		return
	}
	if w.rand.Float64() < w.lateOrders {
		w.to(e, timeout, unanswered)
		w.after(2*time.Second+time.Duration(w.rand.Int64N(int64(8*time.Second))), func() { do(s) })
		return
	}
	w.after(simTick, func() { w.to(e, w.answerDelay, do(s)) })
}

func (w *world) start(s *simWorker, a *Start, sent time.Time) any {
	ev := &StartAnswered{Start: a, Life: s.life, Clock: w.now.UnixMilli()}
	switch {
	case a.Life != s.life:
		ev.Refusal = OtherLife
		return ev
	case w.term < s.fence || a.run.worker == nil:
		ev.Refusal = Fenced
		return ev
	case a.Deadline < w.now.UnixMilli():
		ev.Refusal = TooLate
		return ev
	}
	if r := s.runs[a.Task]; r != nil && r.run == a.Run {
		return ev
	}
	if s.barred[a.Task] >= a.Run {
		ev.Refusal = OldRun
		return ev
	}
	if end := time.UnixMilli(a.Deadline); end.After(s.lease) {
		s.lease = end
	}
	w.launch(s, a, sent)
	return ev
}

// launch starts a run and checks the promises that concern a start.
func (w *world) launch(s *simWorker, a *Start, sent time.Time) {
	w.starts++
	ref, err := job.ParseTask(a.Task)
	w.must(err)
	spec := w.specs[ref.Job]
	if spec == nil {
		w.t.Fatalf("%s: started, but never submitted", a.Task)
	}
	if w.refused[ref.Job] {
		w.t.Errorf("%v: %s started, although every submission was refused", w.now.Sub(w.begin), a.Task)
	}
	step := &spec.Steps[ref.Step]
	t := w.tasks[a.Task]
	if t == nil {
		t = &simTask{runs: make(map[string]*simRun)}
		w.tasks[a.Task] = t
	}
	if t.done {
		w.t.Errorf("%v: %s run %d started after its end was confirmed", w.now.Sub(w.begin), a.Task, a.Run)
	}
	if len(t.runs) > 0 && !step.Speculative {
		w.t.Errorf("%v: %s run %d on %s while it runs on %v", w.now.Sub(w.begin), a.Task, a.Run, s.id, sortedKeys(t.runs))
	}
	for _, d := range step.DependsOn {
		for i := range spec.Steps[d].Count {
			if spec.Steps[d].Gang && i > 0 {
				break // its members are done together
			}
			before := job.TaskRef{StepRef: job.StepRef{Job: ref.Job, Occurrence: ref.Occurrence, Step: d}, Index: i}.String()
			if !w.ended(before) && !(spec.Steps[d].Gang && w.anyEnded(ref, d, spec.Steps[d].Count)) {
				w.t.Errorf("%s started before %s was done", a.Task, before)
			}
		}
	}
	if at, gone := w.killed[ref.Job]; gone && sent.Sub(at) > 3*time.Second {
		w.t.Errorf("%s started %v after its cancellation", a.Task, w.now.Sub(at))
	}
	r := &simRun{task: a.Task, run: a.Run, begun: w.now, length: step.Estimate, need: step.Need, fails: w.rand.Float64() < w.failing}
	if step.Gang {
		key := fmt.Sprintf("%s/%d", ref.StepRef, a.Run)
		g := w.gangs[key]
		if g == nil {
			g = &simGang{members: make(map[string]*simRun), on: make(map[string]*simWorker), count: step.Count}
			w.gangs[key] = g
		}
		g.members[a.Task], g.on[a.Task] = r, s
		r.gang = g
	}
	s.runs[a.Task] = r
	t.runs[s.id] = r
	t.last = max(t.last, a.Run)
	w.checkRoom(s)
	w.checkLimits(spec.Team)
}

// anyEnded reports whether a member of a gang is done: one end stands for all.
func (w *world) anyEnded(ref job.TaskRef, step, count int) bool {
	for i := range count {
		if w.ended(job.TaskRef{StepRef: job.StepRef{Job: ref.Job, Occurrence: ref.Occurrence, Step: step}, Index: i}.String()) {
			return true
		}
	}
	return false
}

func (w *world) ended(task string) bool {
	t := w.tasks[task]
	return t != nil && t.reached
}

func (w *world) checkRoom(s *simWorker) {
	used := job.Resources{}
	for _, r := range s.runs {
		used = used.Add(r.need)
	}
	if !used.Fits(s.capacity) {
		w.t.Errorf("%v: %s runs %v, more than its capacity %v", w.now.Sub(w.begin), s.id, used, s.capacity)
	}
}

func (w *world) checkLimits(team string) {
	limit := w.policy.Team(team).Limit
	used := job.Resources{}
	for _, s := range w.workers {
		for name, r := range s.runs {
			if w.specs[strings.SplitN(name, ".", 2)[0]].Team == team {
				used = used.Add(r.need)
			}
		}
	}
	if !used.Within(limit) {
		w.t.Errorf("team %s runs %v, above its limit %v", team, used, limit)
	}
}

func (w *world) stop(s *simWorker, a *Stop) any {
	ev := &StopAnswered{Stop: a, Life: s.life}
	if a.Life != s.life {
		ev.Refusal = OtherLife
		return ev
	}
	s.barred[a.Task] = max(s.barred[a.Task], a.Run)
	if r := s.runs[a.Task]; r != nil && r.run <= a.Run {
		w.after(100*time.Millisecond, func() { r.stopped = true })
	}
	return ev
}

func (w *world) look(e *Engine, a *Look) {
	s := w.workers[a.Worker]
	sent := w.now
	if s.dark {
		w.to(e, a.Timeout, &Looked{Worker: a.Worker, Life: a.Life, Sent: sent})
		return
	}
	w.after(simTick, func() {
		if s.life != a.Life {
			w.to(e, 0, &Looked{Worker: a.Worker, Life: a.Life, Sent: sent, OtherLife: true})
			return
		}
		s.fence = max(s.fence, w.term)
		if end := time.UnixMilli(a.Deadline); a.Deadline > 0 && end.After(s.lease) && w.engine == e {
			s.lease = end
		}
		w.confirm(s, a.Cursor)
		answered, lost := false, false
		answer := func() {
			if a.Wait > 0 && w.loseLooks > 0 {
				w.loseLooks--
				lost = true
			}
			if lost || answered || s.dark || s.life != a.Life {
				return
			}
			answered = true
			w.to(e, simTick, &Looked{Worker: a.Worker, Life: a.Life, Sent: sent, Report: w.report(s)})
		}
		w.after(a.Timeout, func() {
			if !answered && w.engine == e {
				answered = true
				e.Handle(w.now, &Looked{Worker: a.Worker, Life: a.Life, Sent: sent})
			}
		})
		if a.Wait == 0 || len(s.ended) > 0 {
			answer()
			return
		}
		s.waiting = append(s.waiting, answer)
		w.after(a.Wait, answer)
	})
}

func (w *world) confirm(s *simWorker, cursor int64) {
	kept := s.ended[:0]
	for _, end := range s.ended {
		if end.Number > cursor {
			kept = append(kept, end)
			continue
		}
		if end.How == EndedDone && end.Number > s.expired {
			w.tasks[end.Task].done = true
		}
	}
	s.ended = kept
}

func (w *world) report(s *simWorker) *Report {
	r := &Report{Life: s.life, Clock: w.now.UnixMilli(), Ended: slices.Clone(s.ended)}
	for _, name := range sortedKeys(s.runs) {
		u := s.runs[name]
		percent := int(100 * float64(w.now.Sub(u.worksFrom())) / (float64(max(1, u.length)) * s.slow))
		if u.gang != nil && u.gang.since.IsZero() {
			percent = 0
		}
		r.Running = append(r.Running, RunStatus{Task: name, Run: u.run, Percent: min(99, percent)})
	}
	return r
}

func (w *world) advise(a *Ask) map[string]string {
	w.asked += len(a.Workers)
	good := make(map[string]string)
	if w.goodFor != nil {
		task, err := job.ParseTask(a.Step + ".0")
		w.must(err)
		for _, id := range a.Workers {
			if w.goodFor(task.StepRef, id) {
				good[id] = "ticket"
			}
		}
		return good
	}
	for _, id := range a.Workers {
		h := fnv.New32a()
		_, _ = io.WriteString(h, a.Step+id)
		if h.Sum32()%10 < 4 || id == "w00" || id == "w01" { // some worker may always run it
			good[id] = "ticket"
		}
	}
	return good
}
