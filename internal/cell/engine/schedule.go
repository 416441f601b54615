package engine

import (
	"sort"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/placement"
	"pollenbend/internal/cell/policy"
	"pollenbend/internal/cell/record"
)

// place starts what fits, most urgent steps first.
func (e *Engine) place() {
	e.compactOpen()
	sort.SliceStable(e.open, func(i, j int) bool { return e.before(e.open[i], e.open[j]) })
	for _, s := range e.open {
		if s.open() {
			e.placeStep(s)
		}
	}
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

// before orders steps: what the team is owed, priority, then the earlier arrival.
func (e *Engine) before(a, b *stepRun) bool {
	ja, jb := a.job(), b.job()
	if ja.overdue != jb.overdue {
		return !ja.overdue
	}
	pa, pb := e.priority(ja), e.priority(jb)
	if pa != pb {
		return pa < pb
	}
	return ja.arrived.Before(jb.arrived)
}

// lowestPriority is that of jobs whose queue is gone.
const lowestPriority = 1 << 20

func (e *Engine) priority(j *jobState) int {
	if q := e.queueOf(j); q != nil {
		return q.Priority
	}
	return lowestPriority
}

// placeStep places the waiting tasks of s as far as possible.
func (e *Engine) placeStep(s *stepRun) {
	q := e.queueOf(s.job())
	if q == nil {
		return // no service is declared for the queue now
	}
	tasks := s.waitingTasks()
	if s.spec.Gang && len(tasks) < len(s.tasks) {
		return // members of the last run are still being stopped
	}
	tasks = e.withinLimit(s, tasks)
	if len(tasks) == 0 {
		return
	}
	workers := e.eligible(s, q)
	if q.Advice != nil {
		e.advise(s, q, workers)
		workers = s.ticketed(workers, e.now)
	}
	chosen := placement.Place(e.request(s, len(tasks)), e.candidates(s, workers))
	for i, index := range chosen {
		t, w := tasks[i], workers[index]
		e.plan(t, w, e.nextNumber(s, t), s.ticket(w.id))
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
		out[i] = placement.Candidate{Free: w.free(), Rack: w.rack, Slowness: 1}
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

// eligible returns the workers that may be given tasks of s.
func (e *Engine) eligible(s *stepRun, q *policy.Queue) []*worker {
	var out []*worker
	for _, w := range e.order {
		if w.service != q.Service || !w.usable(e.now) || !s.charge.Fits(w.free()) {
			continue
		}
		if s.spec.Label != "" && !w.hasLabel(s.spec.Label) {
			continue
		}
		out = append(out, w)
	}
	return out
}

// admit decides whether a job is accepted. It returns why not, and when to ask
// again.
func (e *Engine) admit(spec *job.Spec) (string, time.Duration) {
	q := e.policy.Queue(spec.Queue)
	if q == nil {
		return "no such queue", 0
	}
	if why := e.neverFits(spec, q); why != "" {
		return why, 0
	}
	return "", 0
}

// neverFits says why no worker, or no limit, could ever hold a step of the job.
func (e *Engine) neverFits(spec *job.Spec, q *policy.Queue) string {
	if len(e.order) == 0 || e.now.Sub(e.started) < e.cfg.MaxLease {
		return "" // not every worker may be known yet
	}
	team := e.policy.Team(spec.Team)
	for i := range spec.Steps {
		s := &spec.Steps[i]
		if team != nil && s.Gang && !s.Need.Times(s.Count).Within(team.Limit) {
			return "the gang is larger than its team's limit"
		}
		if team != nil && !s.Need.Within(team.Limit) {
			return "a task is larger than its team's limit"
		}
		if !e.someWorkerFits(s, q) {
			return "a task is larger than any worker"
		}
	}
	return ""
}

func (e *Engine) someWorkerFits(s *job.Step, q *policy.Queue) bool {
	for _, w := range e.order {
		if w.service == q.Service && s.Charge().Fits(w.capacity) && (s.Label == "" || w.hasLabel(s.Label)) {
			return true
		}
	}
	return false
}

// allowance counts the jobs of a team against what it is owed.
type allowance struct {
	tokens float64
	at     time.Time
}

// allowanceSpan is how much of a team's owed rate it may send at once.
const allowanceSpan = time.Second

// allow reports whether one more job of team is within what it is owed.
func (e *Engine) allow(name string) bool {
	team := e.policy.Team(name)
	if team == nil || team.Weight <= 0 {
		return true
	}
	most := team.Weight * allowanceSpan.Seconds()
	a := e.owed[name]
	if a == nil {
		a = &allowance{tokens: most, at: e.now}
		e.owed[name] = a
	}
	a.tokens = min(most, a.tokens+team.Weight*e.now.Sub(a.at).Seconds())
	a.at = e.now
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

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
	if rec.State.Final() || rec.Spec == nil {
		j := &jobState{id: id, team: rec.Team, queue: rec.Queue, accepted: rec.Accepted, ended: rec.Ended,
			state: rec.State, shown: rec.State, stored: true, begun: true}
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
	if s.left == 0 {
		s.occ.left--
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
	r := &run{task: t, worker: w, life: kept.Life, number: kept.Run, charge: t.step.charge, phase: planned, restored: true}
	t.runs = append(t.runs, r)
	e.reserve(r)
}
