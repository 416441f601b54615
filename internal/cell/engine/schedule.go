package engine

import (
	"sort"
	"time"

	"pollenbend/internal/cell/ordering"
	"pollenbend/internal/cell/placement"
	"pollenbend/internal/cell/policy"
)

// place starts what fits, most urgent steps first.
func (e *Engine) place() {
	e.compactOpen()
	e.sortOpen()
	rooms := make(map[string]*room)
	for _, s := range e.open {
		q := e.queueOf(s.job())
		if q == nil || !s.open() {
			continue // no service is declared for the queue now
		}
		r := rooms[q.Service]
		if r == nil {
			r = e.roomOf(q.Service)
			rooms[q.Service] = r
		}
		if r.window > 0 {
			e.placeStep(s, q, r)
		}
		e.tellWait(s, r)
	}
	e.placeCopies(rooms)
}

const (
	// tellWaitAfter is how long a step waits before the log says why, and the pause
	// between two such lines of a step.
	tellWaitAfter = 3 * time.Second
	// tellWaitEvery bounds such lines over all steps.
	tellWaitEvery = 50 * time.Millisecond
)

// tellWait logs what a step that waits for long waits for.
func (e *Engine) tellWait(s *stepRun, r *room) {
	if !s.open() || e.now.Sub(s.readyAt) < tellWaitAfter || e.now.Sub(s.toldAt) < tellWaitAfter || e.now.Sub(e.toldAt) < tellWaitEvery {
		return
	}
	s.toldAt, e.toldAt = e.now, e.now
	good, valid, asked, calls := 0, 0, 0, 0
	if a := s.advice; a != nil {
		good, asked, calls = len(a.good), len(a.asked), a.calls
		valid = len(e.ticketed(s))
	}
	e.log.Info("step waits", "step", s.name, "job", s.ref.Job, "ready_ms", e.age(s.readyAt), "tasks", s.waiting, "of", len(s.tasks),
		"gang", s.spec.Gang, "cpu", s.charge.CPU, "most_free_cpu", r.most.CPU, "workers", len(r.workers), "asked", asked, "good", good,
		"tickets", valid, "calls", calls, "team_cpu", e.usage[s.job().team].CPU, "window_left", r.window)
}

// sortOpen brings the open steps into the order of service.
func (e *Engine) sortOpen() {
	for _, s := range e.open {
		s.key = ordering.KeyOf(e.orderOf(s), e.now)
	}
	sort.SliceStable(e.open, func(i, j int) bool { return ordering.Before(e.open[i].key, e.open[j].key) })
}

func (e *Engine) orderOf(s *stepRun) ordering.Step {
	j := s.job()
	o := ordering.Step{Overdue: j.overdue, Priority: lowestPriority, Arrived: e.arrivalOf(s), Left: e.chainFrom(s)}
	if q := e.queueOf(j); q != nil {
		o.Priority = q.Priority
		o.Objective = objective(q, e.chainOf(j))
	}
	return o
}

// compactOpen drops steps that have nothing left to place.
func (e *Engine) compactOpen() {
	kept := e.open[:0]
	for _, s := range e.open {
		if s.left > 0 && s.waiting > 0 && !s.job().state.Final() {
			kept = append(kept, s)
		}
	}
	clear(e.open[len(kept):])
	e.open = kept
}

// lowestPriority is that of jobs whose queue is gone.
const lowestPriority = 1 << 20

// placeStep places the waiting tasks of s as far as possible.
func (e *Engine) placeStep(s *stepRun, q *policy.Queue, r *room) {
	tasks := s.waitingTasks()
	if s.spec.Gang && len(tasks) < len(s.tasks) {
		return // members of the last run are still being stopped
	}
	tasks = e.withinLimit(s, tasks)
	if len(tasks) == 0 {
		return
	}
	s.tried = true
	r.window -= max(1, s.charge.CPU*int64(len(tasks)))
	if q.Advice != nil {
		e.advise(s, q, r)
	}
	workers := e.allowed(s, q, r)
	chosen := placement.Place(e.request(s, len(tasks)), e.candidates(s, workers))
	for i, index := range chosen {
		t, w := tasks[i], workers[index]
		e.plan(t, w, e.nextNumber(s, t), s.ticket(w.id))
	}
	if len(chosen) == 0 {
		e.hold(s, r, len(tasks))
	}
}

func (e *Engine) request(s *stepRun, count int) placement.Request {
	return placement.Request{
		Need: s.charge, Count: count, All: s.spec.Gang, SameRack: s.spec.SameRack,
		PreferredRack: s.spec.PreferredRack, FarPenalty: e.cfg.FarPenalty, MaxPerWorker: s.spec.MaxPerWorker,
	}
}

func (e *Engine) candidates(s *stepRun, workers []*worker) []placement.Candidate {
	out := make([]placement.Candidate, len(workers))
	for i, w := range workers {
		out[i] = placement.Candidate{Free: w.free(), Rack: w.rack, Slowness: w.health.slowness()}
		if s.spec.MaxPerWorker > 0 {
			out[i].Present = s.present(w)
		}
	}
	return out
}

// present returns how many tasks of s run on w.
func (s *stepRun) present(w *worker) int {
	n := 0
	for r := range w.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}

func (s *stepRun) waitingTasks() []*task {
	var waiting []*task
	for _, t := range s.tasks {
		if !t.done && !t.live() {
			waiting = append(waiting, t)
		}
	}
	return waiting
}

// nextNumber returns the number of the next run of t. Members of a gang share it.
func (e *Engine) nextNumber(s *stepRun, t *task) int {
	if s.spec.Gang {
		number := s.gangRun
		if t.number == s.gangRun {
			number++
		}
		return number
	}
	return t.number + 1
}

// withinLimit returns those of tasks that the team's limit leaves room for. A
// gang gets room for all of its tasks or for none.
func (e *Engine) withinLimit(s *stepRun, tasks []*task) []*task {
	team := e.policy.Team(s.job().team)
	if team == nil {
		return tasks
	}
	used := e.usage[team.Name]
	n := 0
	for n < len(tasks) && used.Add(s.spec.Need.Times(n+1)).Within(team.Limit) {
		n++
	}
	if s.spec.Gang && n < len(tasks) {
		return nil
	}
	return tasks[:n]
}

// allowed returns the workers that may be sent tasks of s now, with room or without.
func (e *Engine) allowed(s *stepRun, q *policy.Queue, r *room) []*worker {
	if q.Advice != nil {
		return e.ticketed(s)
	}
	return s.eligible(r)
}

// eligible returns the workers that may be given tasks of s, with room or without.
func (s *stepRun) eligible(r *room) []*worker {
	out := make([]*worker, 0, len(r.workers))
	for _, w := range r.workers {
		if w.mayHold(s.spec) {
			out = append(out, w)
		}
	}
	return out
}
