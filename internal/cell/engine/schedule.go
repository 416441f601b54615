package engine

import (
	"sort"
	"time"

	"pollenbend/internal/cell/admission"
	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/ordering"
	"pollenbend/internal/cell/placement"
	"pollenbend/internal/cell/policy"
	"pollenbend/internal/cell/record"
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
	good, valid, asked, busy := 0, 0, 0, false
	if a := s.advice; a != nil {
		good, asked, busy = len(a.good), len(a.asked), a.busy
		valid = len(e.ticketed(s))
	}
	e.log.Info("step waits", "step", s.name, "job", s.ref.Job, "ready_ms", e.age(s.readyAt), "tasks", s.waiting, "of", len(s.tasks),
		"gang", s.spec.Gang, "cpu", s.charge.CPU, "most_free_cpu", r.most.CPU, "workers", len(r.workers), "asked", asked, "good", good,
		"tickets", valid, "asking", busy, "team_cpu", e.usage[s.job().team].CPU, "window_left", r.window)
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

// arrivalOf returns when the occurrence of s was due.
func (e *Engine) arrivalOf(s *stepRun) time.Time {
	if s.occ.due == 0 {
		return s.job().arrived
	}
	return e.now.Add(time.Duration(s.occ.due-e.wall()) * time.Millisecond)
}

// objective returns how long a job of q may take.
func objective(q *policy.Queue, chain time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(chain)) + q.LatencyTarget
}

// chainOf returns the longest chain of work of a job, by its estimates.
func (e *Engine) chainOf(j *jobState) time.Duration {
	if j.chain == 0 {
		j.chain = e.chainOfSpec(j.spec)
	}
	return j.chain
}

func (e *Engine) chainOfSpec(spec *job.Spec) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(spec.Steps))
	for i := range spec.Steps {
		s := &spec.Steps[i]
		begin := time.Duration(0)
		for _, d := range s.DependsOn {
			begin = max(begin, ends[d])
		}
		ends[i] = begin + e.pace.expect(spec.Queue, s.Estimate)
		longest = max(longest, ends[i])
	}
	return longest
}

// chainFrom returns the longest chain of work from s on.
func (e *Engine) chainFrom(s *stepRun) time.Duration {
	spec := s.job().spec
	return e.chainAfter(spec, s.ref.Step)
}

func (e *Engine) chainAfter(spec *job.Spec, step int) time.Duration {
	after := time.Duration(0)
	for i := step + 1; i < len(spec.Steps); i++ {
		for _, d := range spec.Steps[i].DependsOn {
			if d == step {
				after = max(after, e.chainAfter(spec, i))
			}
		}
	}
	return after + e.pace.expect(spec.Queue, spec.Steps[step].Estimate)
}

// room is what the workers of a service have free in one round of placement.
type room struct {
	workers []*worker
	most    job.Resources // largest free amount of each kind on one worker
	window  int64         // CPU of the steps that are still looked at
	holding int64         // CPU that may still be held for gangs
	copies  int64         // CPU that may still be spent on second copies
}

const (
	// windowOfFree and windowOfAll bound the steps that are looked at in a round by
	// their CPU, against what is free and against the whole service: enough to fill
	// the room that is there and what comes free while an adviser answers.
	windowOfFree = 1.5
	windowOfAll  = 0.15
	// holdOfAll is the part of a service's CPU that may be kept free for gangs that
	// wait for their room to come together.
	holdOfAll = 0.12
)

func (e *Engine) roomOf(service string) *room {
	r := &room{}
	var free, all int64
	for _, w := range e.order {
		if w.service != service || !w.usable(e.now) {
			continue
		}
		w.held = job.Resources{}
		f := w.free()
		r.workers = append(r.workers, w)
		r.most.CPU = max(r.most.CPU, f.CPU)
		r.most.MemMB = max(r.most.MemMB, f.MemMB)
		r.most.GPU = max(r.most.GPU, f.GPU)
		free += max(0, f.CPU)
		all += w.capacity.CPU
	}
	r.window = int64(windowOfFree*float64(free) + windowOfAll*float64(all))
	r.holding = int64(holdOfAll * float64(all))
	r.copies = int64(copiesOfAll * float64(all))
	return r
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
	r.window -= max(1, s.charge.CPU*int64(len(tasks)))
	var workers []*worker
	if q.Advice != nil {
		e.advise(s, q, r)
		workers = e.ticketed(s)
	} else {
		workers = s.eligible(r)
	}
	chosen := placement.Place(e.request(s, len(tasks)), e.candidates(s, workers))
	for i, index := range chosen {
		t, w := tasks[i], workers[index]
		e.plan(t, w, e.nextNumber(s, t), s.ticket(w.id))
	}
	if len(chosen) == 0 {
		e.hold(s, r, len(tasks))
	}
}

// hold keeps room free on workers that a waiting gang can use, so that it comes
// together there instead of being taken by smaller tasks.
func (e *Engine) hold(s *stepRun, r *room, count int) {
	if !s.spec.Gang || count < 2 || r.holding <= 0 {
		return
	}
	need := count
	for _, w := range e.holdOn(s, r) {
		n := min(need, s.most(w))
		if n <= 0 {
			continue
		}
		held := s.charge.Times(n)
		w.held = w.held.Add(held)
		r.holding -= held.CPU
		need -= n
		if need == 0 || r.holding <= 0 {
			return
		}
	}
}

// most returns how many tasks of s the whole of w could run beside what is held.
func (s *stepRun) most(w *worker) int {
	n := s.spec.Count
	all := w.capacity.Sub(w.held)
	if s.charge.CPU > 0 {
		n = min(n, int(max(0, all.CPU)/s.charge.CPU))
	}
	if s.charge.MemMB > 0 {
		n = min(n, int(max(0, all.MemMB)/s.charge.MemMB))
	}
	return n
}

// holdOn returns the workers on which a gang waits for room, those with the most
// first.
func (e *Engine) holdOn(s *stepRun, r *room) []*worker {
	var on []*worker
	if s.advice == nil {
		on = s.eligible(r)
	} else {
		for _, w := range e.goodFor(s) {
			if w.usable(e.now) {
				on = append(on, w)
			}
		}
	}
	sort.SliceStable(on, func(i, j int) bool { return on[i].free().CPU > on[j].free().CPU })
	return on
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

// eligible returns the workers that may be given tasks of s, with room or without.
func (s *stepRun) eligible(r *room) []*worker {
	out := make([]*worker, 0, len(r.workers))
	for _, w := range r.workers {
		if !s.charge.Fits(w.capacity) || s.spec.Label != "" && !w.hasLabel(s.spec.Label) {
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
	if spec.Scheduled() {
		return "", 0
	}
	chain := e.chainOfSpec(spec)
	d := admission.Decide(admission.Job{Chain: chain, Objective: objective(q, chain), Overdue: !e.peekAllowance(spec.Team)}, e.loadFor(q))
	return d.Why, d.RetryAfter
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

// peekAllowance reports whether one more job of team would be within what it is
// owed.
func (e *Engine) peekAllowance(name string) bool {
	team := e.policy.Team(name)
	a := e.owed[name]
	if team == nil || team.Weight <= 0 || a == nil {
		return true
	}
	return a.tokens+team.Weight*e.now.Sub(a.at).Seconds() >= 1
}

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
	r := &run{task: t, worker: w, life: kept.Life, number: kept.Run, charge: t.step.charge, phase: planned, restored: true, sent: true}
	t.runs = append(t.runs, r)
	e.reserve(r)
}
